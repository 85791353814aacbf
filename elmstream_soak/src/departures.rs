//! Backend servers that left, and whether a host still uses them.

use std::{cell::RefCell, collections::BTreeMap};

use crate::outages::{CONFIGURATION_DEADLINE_MS, Outages};

/// Time for which hosts may send to a server after the store acknowledged that it leaves, in
/// milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time after which a disturbed host is judged again, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// When the store acknowledged that servers leave, in milliseconds since the start of the soak, and
/// its era then.
#[derive(Debug, Default)]
pub struct Departures(RefCell<BTreeMap<String, (u64, u64)>>);

impl Departures {
    /// Records that the store acknowledged at a time, in an era, that a server leaves.
    pub fn record(&self, server: &str, now_ms: u64, era: u64) {
        self.0.borrow_mut().insert(server.to_owned(), (now_ms, era));
    }

    /// How long ago a server had left when a request was sent by a host that was last disturbed at
    /// `disturbed_ms`, if the host may no longer have used it. A server that left during an outage
    /// or a restore is not judged.
    pub fn overdue_ms(
        &self,
        server: &str,
        (sent_ms, disturbed_ms): (u64, u64),
        era: u64,
        outages: &Outages,
    ) -> Option<u64> {
        let (left_ms, left_era) = *self.0.borrow().get(server)?;
        let is_calm = outages.due(left_ms) == Some(left_ms + CONFIGURATION_DEADLINE_MS);
        let due_ms = (left_ms + DRAIN_MS).max(disturbed_ms + CONTACT_MS);
        (is_calm && left_era == era && sent_ms > due_ms).then(|| sent_ms - left_ms)
    }
}
