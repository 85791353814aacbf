//! Versions of servers that receive nothing until this host knows whether an order is about them.

use std::collections::HashMap;

use elmstream::time::Time;

/// Versions that servers of each service were seen with, and since when a version is held back. A
/// new version may belong to an order that this host has not learned of yet, so its servers receive
/// nothing until the rules are confirmed as of a later time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions(HashMap<String, HashMap<String, Option<Time>>>);

impl Versions {
    pub fn record(&mut self, now: Time, service: &str, version: &str, first_read: bool) {
        let known = self.0.entry(service.to_owned()).or_default();
        if !known.contains_key(version) {
            let is_first = first_read || known.is_empty();
            known.insert(version.to_owned(), (!is_first).then_some(now));
        }
    }

    pub fn release(&mut self, rules_confirmed_at: Option<Time>) {
        for since in self.0.values_mut().flat_map(HashMap::values_mut) {
            if since.is_some_and(|since| {
                rules_confirmed_at.is_some_and(|confirmed_at| confirmed_at > since)
            }) {
                *since = None;
            }
        }
    }

    pub fn has_held(&self) -> bool {
        self.0.values().flat_map(HashMap::values).any(Option::is_some)
    }

    pub fn is_held(&self, service: &str, version: &str) -> bool {
        self.0.get(service).and_then(|known| known.get(version)).is_some_and(Option::is_some)
    }
}
