//! Demand of a place: how many requests its hosts receive, and how many they will soon.

use elmstream::time::Time;

/// Time in which a count of recent requests decays to 1/e, in seconds.
const RECENT_DECAY_S: f64 = 2.0;
/// Time in which an average of such counts decays to 1/e, in seconds.
const AVERAGE_DECAY_S: f64 = 30.0;
/// Weight of a new rate in the level, and of a new change of the level in the trend.
const LEVEL_WEIGHT: f64 = 0.5;
const TREND_WEIGHT: f64 = 0.2;
/// How far ahead the demand is read, in seconds: the time that moving keys takes.
const AHEAD_S: f64 = 3.0;
/// Highest forecast, as a multiple of the present level.
const FORECAST_FACTOR_MAX: f64 = 2.0;

/// Count of this host's requests that decays exponentially.
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
        self.value * decay(now.since(self.at), RECENT_DECAY_S)
    }
}

/// Requests a second that a decayed number of requests stands for.
pub fn rate_per_s(count: f64) -> f64 {
    count / RECENT_DECAY_S
}

/// Average of a host's decayed counts over a longer time, by the hash of the service.
#[derive(Clone, Debug, Default)]
pub struct AverageDemand {
    counts: Vec<(u32, f64)>,
    at: Time,
}

impl AverageDemand {
    /// Takes in the present counts of all services. The first ones count in full.
    pub fn update(&mut self, now: Time, present: &[(u32, u32)]) {
        let weight = 1.0 - decay(now.since(self.at), AVERAGE_DECAY_S);
        self.at = now;
        for (service, count) in present {
            let count = f64::from(*count);
            match self.counts.iter_mut().find(|(known, _)| known == service) {
                Some((_, average)) => *average += (count - *average) * weight,
                None => self.counts.push((*service, count)),
            }
        }
    }

    /// Requests of a service in the time that the average covers.
    pub fn requests(&self, service: u32) -> u32 {
        let count = self.counts.iter().find(|(known, _)| *known == service);
        count.map_or(0, |(_, count)| (rate_per_s(*count) * AVERAGE_DECAY_S) as u32)
    }
}

/// Weight that remains after a time in microseconds.
fn decay(elapsed: u64, decay_s: f64) -> f64 {
    (-(elapsed as f64) / (decay_s * 1e6)).exp()
}

/// Forecast of a rate by Holt's linear smoothing. It is updated once a second.
#[derive(Clone, Copy, Debug)]
pub struct DemandForecast {
    /// Smoothed rate, and its smoothed change in a second.
    level: f64,
    trend: f64,
}

impl DemandForecast {
    /// Starts with a rate and no trend.
    pub fn new(rate: f64) -> DemandForecast {
        DemandForecast { level: rate, trend: 0.0 }
    }

    /// Takes in the rate of the last second.
    pub fn update(&mut self, rate: f64) {
        let before = self.level;
        let expected = self.level + self.trend;
        self.level = (expected + (rate - expected) * LEVEL_WEIGHT).max(0.0);
        self.trend += (self.level - before - self.trend) * TREND_WEIGHT;
    }

    /// The rate that is expected, never negative and at most twice the present one.
    pub fn rate(&self) -> f64 {
        (self.level + self.trend * AHEAD_S).clamp(0.0, self.level * FORECAST_FACTOR_MAX)
    }
}
