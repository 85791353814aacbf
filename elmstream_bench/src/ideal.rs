//! The bound against which elmstream is measured: one central queue for all slots, which
//! knows at once when a slot becomes free.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Number of simulated requests.
const SIMULATED_REQUESTS: u64 = 1_000_000;
/// Seed of the random run times.
const RUN_TIME_SEED: u64 = 20_261_202;
/// Largest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Latencies of a queue with `slots` slots, evenly spaced arrivals and exponentially
/// distributed run times of the given mean; in microseconds.
pub fn queue_latencies(slots: usize, per_second: f64, mean: Duration) -> Histogram<u64> {
    let mut rng = StdRng::seed_from_u64(RUN_TIME_SEED);
    let mut histogram = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid");
    let gap = 1e6 / per_second;
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    for number in 0..SIMULATED_REQUESTS {
        let arrival = (number as f64 * gap) as u64;
        let Some(Reverse(free)) = free_at.pop() else { break };
        let run = -(1.0 - rng.random::<f64>()).ln() * mean.as_micros() as f64;
        let end = free.max(arrival) + run as u64;
        free_at.push(Reverse(end));
        histogram.saturating_record(end - arrival);
    }
    histogram
}
