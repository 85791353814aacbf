//! Time without an answer after which a backend server counts as silent.

use elmstream::time::{MILLI, SECOND};

/// A server is silent after this multiple of the mean answer time of the service, and of requests
/// for keys that the server is warm for.
const MEAN_FACTOR: f64 = 3.0;
/// The same for requests for keys that the server is not warm for.
const NOT_WARM_FACTOR: f64 = 2.0;
/// Bounds of the time that the service's mean gives.
pub const SILENCE_TIMEOUT_MIN: u64 = 600 * MILLI;
const SILENCE_TIMEOUT_MAX: u64 = 1_500 * MILLI;
/// Upper bound of the time where answers take longer. It also applies before the first answer.
const LONG_ANSWERS_TIMEOUT_MAX: u64 = 10 * SECOND;
/// The mean of n answers is raised by this number divided by n, as quick answers arrive first.
const SAMPLE_MARGIN: f64 = 3.0;
/// Smallest weight of a new answer in a mean.
const WEIGHT_MIN: f64 = 0.05;

/// Mean answer times of one service by whether the server was warm for the key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SilenceTimes {
    warm: SampleMean,
    not_warm: SampleMean,
}

impl SilenceTimes {
    /// Adds an answer time, in milliseconds.
    pub fn record(&mut self, millis: f64, was_warm: bool) {
        let mean = if was_warm { &mut self.warm } else { &mut self.not_warm };
        mean.record(millis);
    }

    /// Time without an answer after which a server is silent, in microseconds. `mean_ms` is the
    /// service's mean answer time; `not_warm` if the server may work for a key that it is not warm
    /// for.
    pub fn timeout(&self, mean_ms: f64, not_warm: bool) -> u64 {
        let usual = micros(mean_ms * MEAN_FACTOR).clamp(SILENCE_TIMEOUT_MIN, SILENCE_TIMEOUT_MAX);
        let (mean, factor) =
            if not_warm { (self.not_warm, NOT_WARM_FACTOR) } else { (self.warm, MEAN_FACTOR) };
        let longest = mean.raised_ms().map(|ms| micros(ms * factor));
        longest.unwrap_or(u64::MAX).clamp(usual, LONG_ANSWERS_TIMEOUT_MAX)
    }
}

/// Moving average that starts with the first value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct SampleMean {
    millis: f64,
    count: u32,
}

impl SampleMean {
    fn record(&mut self, millis: f64) {
        self.count = self.count.saturating_add(1);
        self.millis += (millis - self.millis) * WEIGHT_MIN.max(1.0 / f64::from(self.count));
    }

    /// The mean with a margin for few values, in milliseconds; `None` without any.
    fn raised_ms(self) -> Option<f64> {
        let count = f64::from(self.count);
        (self.count > 0).then_some(self.millis * (1.0 + SAMPLE_MARGIN / count))
    }
}

fn micros(millis: f64) -> u64 {
    (millis * MILLI as f64) as u64
}
