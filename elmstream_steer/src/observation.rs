//! For how long this host has run and heard other hosts.
//!
//! The age of a table alone does not tell whether the store was away: the table of a host that was
//! suspended, or cut off from the others, is just as old. Only time in which the host ran and heard
//! others counts as observed.

use std::collections::VecDeque;

use elmstream::time::{MILLI, SECOND, Time};

use crate::members::LIVE_TIMEOUT;

/// Longest time between two steps of a host that runs; it ticks every 100 ms.
const STEP_INTERVAL_MAX: u64 = 500 * MILLI;
/// Shortest standstill that is reported.
const REPORTED_STANDSTILL_MIN: u64 = SECOND;
/// How long gaps are remembered after their end.
const GAP_RETENTION: u64 = 120 * SECOND;

/// A time in which the host did not run, or heard no other host.
#[derive(Clone, Copy, Debug)]
struct Gap {
    start: Time,
    end: Time,
}

/// Times in which the host ran and heard other hosts.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    last_step: Time,
    /// When another host was last heard; `None` if none ever was.
    last_heard: Option<Time>,
    /// Gaps in order, not overlapping.
    gaps: VecDeque<Gap>,
    /// Length of the last standstill that was not yet reported, in microseconds.
    unreported: Option<u64>,
}

impl Observation {
    pub(crate) fn new(now: Time) -> Observation {
        let before_start = Gap { start: Time(0), end: now };
        let gaps = VecDeque::from([before_start]);
        Observation { last_step: now, last_heard: None, gaps, unreported: None }
    }

    /// Records that the host runs. Every input of the host is a step, as any of them may be the
    /// first after a standstill.
    pub(crate) fn step(&mut self, now: Time) {
        let paused = now.since(self.last_step);
        if paused > STEP_INTERVAL_MAX {
            self.add_gap(Gap { start: self.last_step, end: now });
        }
        if paused >= REPORTED_STANDSTILL_MIN {
            self.unreported = Some(paused);
        }
        self.last_step = self.last_step.max(now);
    }

    /// Records that another host is heard.
    pub(crate) fn hear(&mut self, now: Time) {
        self.step(now);
        if let Some(last_heard) = self.last_heard.filter(|at| now.since(*at) > LIVE_TIMEOUT) {
            self.add_gap(Gap { start: last_heard, end: now });
        }
        self.last_heard = self.last_heard.max(Some(now));
    }

    fn add_gap(&mut self, mut gap: Gap) {
        while let Some(last) = self.gaps.pop_back() {
            if last.end < gap.start {
                self.gaps.push_back(last);
                break;
            }
            gap = Gap { start: gap.start.min(last.start), end: gap.end.max(last.end) };
        }
        self.gaps.push_back(gap);
        self.gaps.retain(|past| gap.end.since(past.end) < GAP_RETENTION);
    }

    /// How much of the time since `start` the host did not observe, in microseconds. With
    /// `expects_others`, other hosts may be running, so that not hearing any now counts too.
    pub(crate) fn unobserved_since(&self, start: Time, now: Time, expects_others: bool) -> u64 {
        let silent_since = self.last_heard.filter(|at| now.since(*at) > LIVE_TIMEOUT);
        let silence = silent_since.filter(|_| expects_others).unwrap_or(now);
        let past = self.gaps.iter().map(|gap| gap.end.min(silence).since(gap.start.max(start)));
        past.sum::<u64>() + now.since(silence.max(start))
    }

    /// Length of a standstill that has ended, in microseconds; `Some` only once.
    pub(crate) fn take_standstill(&mut self) -> Option<u64> {
        self.unreported.take()
    }
}
