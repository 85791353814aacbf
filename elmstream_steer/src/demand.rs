//! Demand for a service: how many requests a host received recently.

use elmstream::time::Time;

/// Time in which a count decays to 1/e, in seconds.
const COUNT_DECAY_S: f64 = 30.0;

/// Count of a host's requests that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    value: f64,
    at: Time,
}

impl DecayingCount {
    /// Counts a request.
    pub fn add(&mut self, now: Time) {
        self.value = self.value(now) + 1.0;
        self.at = now;
    }

    /// The decayed number of requests.
    pub fn value(&self, now: Time) -> f64 {
        self.value * (-(now.since(self.at) as f64) / (COUNT_DECAY_S * 1e6)).exp()
    }
}

/// Requests a second that a decayed number of requests stands for.
pub fn rate_per_s(count: f64) -> f64 {
    count / COUNT_DECAY_S
}
