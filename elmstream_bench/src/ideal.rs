//! The limit that elmstream is measured against: one central queue before all
//! slots, which knows at once when one is free.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Requests that are worked out.
const REQUESTS: u64 = 1_000_000;
/// Seed of the run times.
const SEED: u64 = 20_261_202;
/// Longest time that the histogram tells apart, in microseconds.
const TIME_MAX: u64 = 600_000_000;

/// Latencies with `slots` slots, evenly spaced arrivals and exponential run
/// times of a given mean; in microseconds.
pub fn queue_latencies(slots: usize, per_second: f64, mean: Duration) -> Histogram<u64> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut histogram = Histogram::new_with_max(TIME_MAX, 3).expect("the bounds are valid");
    let gap = 1e6 / per_second;
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    for number in 0..REQUESTS {
        let arrival = (number as f64 * gap) as u64;
        let Some(Reverse(free)) = free_at.pop() else { break };
        let run = -(1.0 - rng.random::<f64>()).ln() * mean.as_micros() as f64;
        let end = free.max(arrival) + run as u64;
        free_at.push(Reverse(end));
        histogram.saturating_record(end - arrival);
    }
    histogram
}
