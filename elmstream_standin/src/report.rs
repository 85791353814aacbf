//! Results of a load run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Counts and latencies of one load run.
#[derive(Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers with the content that their request expects.
    pub whole: u64,
    /// Answers that elmstream itself created, by the number of their result code.
    pub refused: BTreeMap<u16, u64>,
    /// Answers whose body was aborted, so that the caller noticed it.
    pub cut: u64,
    /// Answers that seemed complete, but were truncated, corrupted or another
    /// request's.
    pub wrong: u64,
    /// Requests without an answer.
    pub failed: u64,
    /// Latency of `whole` answers, from the planned start, in microseconds.
    pub latency: Histogram<u64>,
    /// Time until a refusal, from the planned start, in microseconds.
    pub refusal_latency: Histogram<u64>,
    /// Counts by the second of the load run in which requests were due.
    pub seconds: Vec<SecondCounts>,
}

/// Counts of the requests that were due in one second of a load run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCounts {
    /// Requests that have ended, with any result.
    pub ended: u64,
    /// Requests with a complete and expected answer.
    pub whole: u64,
}

/// A report with percentiles in place of histograms, printed as JSON.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// See [`Report::sent`].
    pub sent: u64,
    /// See [`Report::whole`].
    pub whole: u64,
    /// See [`Report::refused`].
    pub refused: BTreeMap<u16, u64>,
    /// See [`Report::cut`].
    pub cut: u64,
    /// See [`Report::wrong`].
    pub wrong: u64,
    /// See [`Report::failed`].
    pub failed: u64,
    /// Median latency of `whole` answers, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of that latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of that latency, in microseconds.
    pub p999_us: u64,
}

/// Longest latency that the histograms record, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for Report {
    fn default() -> Report {
        let histogram = || {
            Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        };
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
    /// Counts a request that has ended, in the second in which it was due.
    ///
    /// `due` is the time from the start of the load run.
    pub fn record_end(&mut self, due: Duration, whole: bool) {
        let second = due.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        self.seconds[second].ended += 1;
        self.seconds[second].whole += u64::from(whole);
    }

    /// Adds the report of a load run that began at the same time.
    pub fn merge(&mut self, other: &Report) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.cut += other.cut;
        self.wrong += other.wrong;
        self.failed += other.failed;
        for (code, count) in &other.refused {
            *self.refused.entry(*code).or_default() += count;
        }
        // Adding cannot fail, as all histograms have equal bounds.
        let _ = self.latency.add(&other.latency);
        let _ = self.refusal_latency.add(&other.refusal_latency);
        let length = self.seconds.len().max(other.seconds.len());
        self.seconds.resize(length, SecondCounts::default());
        for (sum, second) in self.seconds.iter_mut().zip(&other.seconds) {
            sum.ended += second.ended;
            sum.whole += second.whole;
        }
    }

    /// Returns the counts and the latency percentiles.
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
