//! The retry budget: a fleet's repeats of a service's requests stay a small part.
//!
//! Each host spends only what its own requests have earned, at a little less than the
//! ratio, and saves up little. So the sum over all hosts keeps the bound whatever they
//! know of each other, and a restart starts from nothing.

use std::collections::HashMap;

/// Part of the ratio that a host gives out. What a window's repeats have not earned in
/// it was saved up before, which `SAVED` bounds, so nearly all of it may be used.
const USED: f64 = 0.9;
/// Part of the fleet's slack that all hosts together may save up.
const SAVED: f64 = 0.5;

/// Budgets of one host, by service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    saved: HashMap<String, f64>,
}

impl Budgets {
    /// A first request earns a part of a repeat.
    pub fn earn(&mut self, service: &str, ratio: f64, slack: f64, hosts: usize) {
        let most = (slack * SAVED / hosts.max(1) as f64).max(1.0);
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + ratio * USED).min(most);
        } else {
            self.saved.insert(service.to_owned(), 0.0);
        }
    }

    /// Whether a repeat has been earned.
    pub fn affords(&self, service: &str) -> bool {
        self.saved.get(service).is_some_and(|saved| *saved >= 1.0)
    }

    /// Spends one repeat, if it has been earned.
    pub fn spend(&mut self, service: &str) -> bool {
        let affords = self.affords(service);
        if let Some(saved) = self.saved.get_mut(service).filter(|_| affords) {
            *saved -= 1.0;
        }
        affords
    }
}
