//! Outages of the store, and when a configuration has to be in force in spite of them.

/// Time after its acknowledgement within which a configuration has to be in force on
/// undisturbed hosts, in milliseconds: the hosts' own bound of 2,000 and the time that a
/// request needs to show it.
pub const CONFIGURATION_DEADLINE_MS: u64 = 2_500;
/// Time within which hosts have to catch up once the store serves again, in milliseconds. It
/// does not depend on the number of hosts.
pub const RECOVERY_DEADLINE_MS: u64 = 3_000;

/// Outages of the store, in order of their beginning.
#[derive(Debug, Default)]
pub struct Outages {
    /// Beginning and end, in milliseconds; `None` while the outage lasts.
    spans: Vec<(u64, Option<u64>)>,
}

impl Outages {
    /// Begins an outage at a time; returns the number to pass to [`end`](Outages::end).
    pub fn begin(&mut self, now_ms: u64) -> usize {
        self.spans.push((now_ms, None));
        self.spans.len() - 1
    }

    /// Ends an outage at a time.
    pub fn end(&mut self, number: usize, now_ms: u64) {
        if let Some(span) = self.spans.get_mut(number) {
            span.1 = Some(now_ms);
        }
    }

    /// When a configuration that was acknowledged at a time has to be in force, in
    /// milliseconds; `None` if an outage that began before then still lasts.
    ///
    /// An outage that begins after the configuration was due is no excuse.
    pub fn due(&self, acknowledged_ms: u64) -> Option<u64> {
        let mut due = acknowledged_ms + CONFIGURATION_DEADLINE_MS;
        for (begin, end) in &self.spans {
            if *begin < due {
                due = due.max((*end)? + RECOVERY_DEADLINE_MS);
            }
        }
        Some(due)
    }
}
