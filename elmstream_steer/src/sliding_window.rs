//! Counts of what went on in the last seconds.

use elmstream::time::Time;

/// Parts that a window is counted in. A sum takes in one part more than the window has, so
/// it is never less than what any window up to now holds, and a twentieth more at most while
/// requests come evenly.
const PARTS: usize = 20;

/// Requests in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    counts: [u32; PARTS + 1],
    /// Number of the part that was counted in last, since the beginning of time.
    last: u64,
}

impl SlidingWindow {
    /// One more request; `window` is in microseconds and the same in each call.
    pub fn add(&mut self, now: Time, window: u64) {
        self.adjust(now, window, 1);
    }

    /// So many more requests, or fewer, up to now.
    pub fn adjust(&mut self, now: Time, window: u64, by: i32) {
        let mut at = self.advance(now, window);
        if by >= 0 {
            self.counts[at] = self.counts[at].saturating_add(by as u32);
            return;
        }
        let mut left = by.unsigned_abs();
        for _ in 0..self.counts.len() {
            let taken = left.min(self.counts[at]);
            self.counts[at] -= taken;
            left -= taken;
            at = (at + PARTS) % self.counts.len();
        }
    }

    /// So many requests that came at any time in the window up to now.
    pub fn add_spread(&mut self, now: Time, window: u64, count: u32, draw: u64) {
        let at = self.advance(now, window) as u64;
        let parts = PARTS as u64;
        let begin = draw % parts;
        for n in 0..u64::from(count.min(PARTS as u32)) {
            let back = (begin + n * parts / u64::from(count.min(PARTS as u32))) % parts;
            let whole = count / count.min(PARTS as u32);
            let rest = u32::from((n as u32) < count % count.min(PARTS as u32));
            let part = (at + parts + 1 - back) % (parts + 1);
            self.counts[part as usize] = self.counts[part as usize].saturating_add(whole + rest);
        }
    }

    /// Requests in the window up to now.
    pub fn sum(&mut self, now: Time, window: u64) -> u32 {
        self.advance(now, window);
        self.counts.iter().sum()
    }

    /// Requests of the sum that leave it within a time from now.
    pub fn expiring(&mut self, now: Time, window: u64, within: u64) -> u32 {
        let at = self.advance(now, window);
        let parts = (within * PARTS as u64 / window.max(1)) as usize;
        let oldest = (1..=parts.min(PARTS)).map(|n| (at + n) % self.counts.len());
        oldest.map(|part| self.counts[part]).sum()
    }

    /// Nothing counts any more.
    pub fn clear(&mut self) {
        self.counts = Default::default();
    }

    /// Drops what is over; the place of the present part.
    fn advance(&mut self, now: Time, window: u64) -> usize {
        let part = now.0 / (window / PARTS as u64).max(1);
        let places = self.counts.len();
        let passed = part.saturating_sub(self.last).min(places as u64);
        for step in 1..=passed {
            self.counts[((self.last + step) % places as u64) as usize] = 0;
        }
        if passed == places as u64 {
            self.clear();
        }
        self.last = self.last.max(part);
        (self.last % places as u64) as usize
    }
}
