//! A service whose servers refuse requests with free slots, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Bounds, Pick, PickRequest, Steer, hash,
    model::{Repeatability, Route},
    policies::{Policies, RetryPolicy},
    servers::{Outcome, ServerIndex},
};

use crate::support::{self, ms};

/// Name, priority and repeatability of the kinds of requests.
pub const KINDS: [(&str, u32, Repeatability); 3] = [
    ("urgent", 0, Repeatability::Safe),
    ("read", 2, Repeatability::Safe),
    ("write", 2, Repeatability::Once),
];
/// Hosts, time of the load, answer time and time of a caller.
const HOSTS: usize = 4;
const LOAD_MS: u64 = 8_500;
const ANSWER_MS: u64 = 100;
const CALLER_MS: u64 = 2_000;
const SLOTS: u32 = 9;
const RETRY_AFTER_MS: u64 = 300;

/// What happens at a time: a caller's attempt, or the end of a request at a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Finish { host: usize, server: ServerIndex },
    Attempt { caller: u64, since: Time, returning: bool },
}

/// Hosts, servers and callers, and what the callers got.
#[derive(Default)]
pub struct Play {
    hosts: Vec<Steer>,
    routes: Vec<Route>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    running: std::collections::HashMap<String, u32>,
    result: Played,
}

/// Result of a play.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Callers, and those of them who were lost, by kind.
    pub callers: [u32; KINDS.len()],
    pub lost: [u32; KINDS.len()],
    /// Second sends for first attempts and for callers who came back.
    pub second_sends: [u32; 2],
    /// Requests that servers got, and those of them that servers refused.
    pub sent: u32,
    pub refused: u32,
    /// Sum of the occupied slots that requests found.
    pub occupied: u32,
}

impl Played {
    /// Fraction of all callers who were lost.
    pub fn lost_share(&self) -> f64 {
        f64::from(self.lost.iter().sum::<u32>()) / f64::from(self.callers.iter().sum::<u32>())
    }

    /// Mean number of occupied slots that requests found at their server.
    pub fn occupied_mean(&self) -> f64 {
        f64::from(self.occupied) / f64::from(self.sent)
    }
}

impl Play {
    /// Plays a load of `per_s` requests a second; `refuses` is the rate at which a server refuses at random.
    pub fn run(per_s: u64, by_worth: bool, refuses: impl Fn(&str) -> f64) -> Played {
        let rows = || {
            let rows = support::servers(3).into_iter();
            rows.map(|row| support::with(row, 10, |server| server.slots = SLOTS)).collect()
        };
        let policies = Policies { retries: RetryPolicy { by_worth }, ..Policies::default() };
        let mut play = Play::default();
        for number in 0..HOSTS {
            let mut host = support::ready(number, ms(0), rows());
            host.reconfigure(support::domains(), Bounds::default(), policies);
            play.hosts.push(host);
        }
        for (name, priority, repeat) in KINDS {
            let route = support::route(repeat, &[]);
            play.routes.push(Route { name: name.into(), priority, timeout_ms: CALLER_MS, ..route });
        }
        for caller in 0..per_s * LOAD_MS / 1_000 {
            let since = ms(1_000 + caller * 1_000 / per_s);
            play.add(since, Event::Attempt { caller, since, returning: false });
        }
        let mut next_heartbeats = ms(0);
        while let Some(Reverse((now, sequence, event))) = play.events.pop() {
            while next_heartbeats < now {
                support::exchange_heartbeats(next_heartbeats, &mut play.hosts, |_, _| true);
                for host in &mut play.hosts {
                    host.update_refusal_rates(next_heartbeats);
                }
                next_heartbeats = next_heartbeats + 200 * MILLI;
            }
            match event {
                Event::Finish { host, server } => play.finish(now, host, server),
                Event::Attempt { caller, since, returning } => {
                    play.attempt(now, sequence, (caller, since, returning), &refuses);
                }
            }
        }
        play.result
    }

    fn add(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn finish(&mut self, now: Time, host: usize, server: ServerIndex) {
        let running = self.running.entry(support::id(&self.hosts[host], server)).or_default();
        *running -= 1;
        self.hosts[host].record_server_load(now, server, *running);
        let outcome = Outcome::Answered { micros: ANSWER_MS * MILLI, was_warm: true };
        self.hosts[host].record_outcome(now, server, outcome);
    }

    /// One attempt of a caller, with a second send if the host has one for it.
    fn attempt(
        &mut self,
        now: Time,
        sequence: u64,
        (caller, since, returning): (u64, Time, bool),
        refuses: impl Fn(&str) -> f64,
    ) {
        let kind = (hash::combine(caller, 3) % KINDS.len() as u64) as usize;
        let host = (hash::combine(sequence, 5) % HOSTS as u64) as usize;
        let route = self.routes[kind].clone();
        let remaining_ms = CALLER_MS - now.since(since) / MILLI;
        let steer = &mut self.hosts[host];
        let seen_as_returning = steer.is_returning(now, &route.name, remaining_ms);
        steer.deposit_retry(now, support::SERVICE);
        let mut tried = Vec::new();
        let mut retry_ms = steer.refused_retry_ms(now, support::SERVICE, RETRY_AFTER_MS);
        self.result.callers[kind] += u32::from(!returning);
        while tried.len() < route.attempts as usize {
            let steer = &mut self.hosts[host];
            let request = PickRequest {
                tried: &tried,
                returning: seen_as_returning,
                remaining_ms,
                ..support::pick_request(&route, hash::combine(caller % 300, 1))
            };
            let worth = steer.retry_worth(&request, false, retry_ms);
            if !tried.is_empty() && !steer.can_retry(now, support::SERVICE, worth) {
                break;
            }
            let server = match steer.pick_server(now, &request) {
                Pick::Send(server) => server,
                Pick::Refuse(refusal) => {
                    retry_ms = refusal.retry_ms;
                    break;
                }
            };
            if !tried.is_empty() {
                assert!(steer.withdraw_retry(support::SERVICE, worth), "it was available");
                self.result.second_sends[usize::from(returning)] += 1;
            }
            let id = support::id(steer, server);
            steer.record_warm_key(now, server, request.key);
            let running = self.running.entry(id.clone()).or_default();
            self.result.sent += 1;
            self.result.occupied += *running;
            let draw = hash::unit_interval(hash::combine(sequence, 11 + tried.len() as u64));
            if *running < SLOTS && draw >= refuses(&id) {
                *running += 1;
                self.add(now + ANSWER_MS * MILLI, Event::Finish { host, server });
                return;
            }
            self.result.refused += 1;
            let running = *running;
            steer.record_server_load(now, server, running);
            steer.record_outcome(now, server, Outcome::Full);
            tried.push(server);
        }
        if returning {
            self.result.lost[kind] += 1;
        } else {
            let event = Event::Attempt { caller, since, returning: true };
            self.add(now + retry_ms * MILLI, event);
        }
    }
}
