//! When the store was in trouble, and when a configuration is due in spite of it.

/// Time in which a configuration must be in force on undisturbed hosts, in
/// milliseconds after its acknowledgement: the hosts' own bound of 2,000 and what a
/// request needs to show it.
pub const CONFIGURATION_DEADLINE_MS: u64 = 2_500;
/// Time that hosts have to catch up once the store serves again, in milliseconds. It
/// does not depend on the number of hosts.
pub const RECOVERY_DEADLINE_MS: u64 = 3_000;

/// Spans in which the store did not serve as it should, in order of their begin.
#[derive(Debug, Default)]
pub struct Outages {
    /// Begin, and end unless it goes on.
    spans: Vec<(u64, Option<u64>)>,
}

impl Outages {
    /// A trouble begins; the number by which it ends.
    pub fn begin(&mut self, now: u64) -> usize {
        self.spans.push((now, None));
        self.spans.len() - 1
    }

    /// A trouble ends.
    pub fn end(&mut self, number: usize, now: u64) {
        if let Some(span) = self.spans.get_mut(number) {
            span.1 = Some(now);
        }
    }

    /// When a configuration must be in force that was acknowledged at a time; none if
    /// a trouble that began before then still goes on.
    ///
    /// A trouble that begins after the configuration was due excuses nothing.
    pub fn due(&self, acknowledged: u64) -> Option<u64> {
        let mut due = acknowledged + CONFIGURATION_DEADLINE_MS;
        for (begin, end) in &self.spans {
            if *begin < due {
                due = due.max((*end)? + RECOVERY_DEADLINE_MS);
            }
        }
        Some(due)
    }
}
