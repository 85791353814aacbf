//! What a loading caller saw.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Counts and latencies of one load.
#[derive(Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole and the request's own.
    pub whole: u64,
    /// Answers that elmstream made itself, by the number of their code.
    pub refused: BTreeMap<u16, u64>,
    /// Answers that were cut, visibly.
    pub cut: u64,
    /// Answers that were taken as whole and were not, or another request's.
    pub wrong: u64,
    /// Requests without any answer.
    pub failed: u64,
    /// Latency of whole answers, from the planned start, in microseconds.
    pub latency: Histogram<u64>,
    /// Time until a refusal, from the planned start, in microseconds.
    pub refusal_latency: Histogram<u64>,
    /// By the second in which requests were due.
    pub seconds: Vec<SecondCounts>,
}

/// Requests that were due in one second of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCounts {
    /// Those that have ended.
    pub ended: u64,
    /// Those with a whole answer of their own.
    pub whole: u64,
}

/// A report in numbers, for printing.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// See [`Report`].
    pub sent: u64,
    /// See [`Report`].
    pub whole: u64,
    /// See [`Report`].
    pub refused: BTreeMap<u16, u64>,
    /// See [`Report`].
    pub cut: u64,
    /// See [`Report`].
    pub wrong: u64,
    /// See [`Report`].
    pub failed: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
}

/// Longest latency that the histogram tells apart, in microseconds.
const LATENCY_MAX: u64 = 600_000_000;
/// Digits of precision.
const DIGITS: u8 = 3;

impl Default for Report {
    fn default() -> Report {
        let histogram =
            || Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are valid");
        Report {
            sent: 0,
            whole: 0,
            refused: BTreeMap::new(),
            cut: 0,
            wrong: 0,
            failed: 0,
            latency: histogram(),
            refusal_latency: histogram(),
            seconds: Vec::new(),
        }
    }
}

impl Report {
    /// Counts a request by the time after the load's begin when it was due.
    pub fn record_end(&mut self, due: Duration, whole: bool) {
        let second = due.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        self.seconds[second].ended += 1;
        self.seconds[second].whole += u64::from(whole);
    }

    /// Adds another load's report of the same time.
    pub fn merge(&mut self, other: &Report) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.cut += other.cut;
        self.wrong += other.wrong;
        self.failed += other.failed;
        for (code, count) in &other.refused {
            *self.refused.entry(*code).or_default() += count;
        }
        // Both have the same bounds, so that adding cannot fail.
        let _ = self.latency.add(&other.latency);
        let _ = self.refusal_latency.add(&other.refusal_latency);
        let length = self.seconds.len().max(other.seconds.len());
        self.seconds.resize(length, SecondCounts::default());
        for (sum, second) in self.seconds.iter_mut().zip(&other.seconds) {
            sum.ended += second.ended;
            sum.whole += second.whole;
        }
    }

    /// The report in numbers.
    pub fn summary(&self) -> Summary {
        Summary {
            sent: self.sent,
            whole: self.whole,
            refused: self.refused.clone(),
            cut: self.cut,
            wrong: self.wrong,
            failed: self.failed,
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
        }
    }
}
