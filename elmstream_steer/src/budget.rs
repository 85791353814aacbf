//! The retry budget: a fleet's repeats of a service's requests stay a small part.
//!
//! Each host spends only what its own requests have earned, at a little less than the
//! ratio, and saves up little. So the sum over all hosts keeps the bound whatever they
//! know of each other, and a restart starts from nothing.

use std::collections::HashMap;

use crate::hash;

/// Part of the ratio that a host gives out. What a window's repeats have not earned in
/// it was saved up before, which `SAVED` bounds, so nearly all of it may be used.
const USED: f64 = 0.9;
/// Part of the fleet's slack that all hosts together may save up.
const SAVED: f64 = 0.5;

/// Budgets of one host, by service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    seed: u64,
    draws: u64,
    /// Repeats that may be saved up; below one in a fleet with more hosts than the slack
    /// has repeats to share out.
    most: f64,
    saved: HashMap<String, f64>,
}

impl Budgets {
    /// Nothing is earned yet; `seed` differs between hosts.
    pub fn new(seed: u64) -> Budgets {
        Budgets { seed, ..Budgets::default() }
    }

    /// A first request earns a part of a repeat.
    pub fn deposit(&mut self, service: &str, ratio: f64, slack: f64, hosts: usize) {
        self.most = slack * SAVED / hosts.max(1) as f64;
        let most = self.most;
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + ratio * USED).min(most);
        } else {
            self.saved.insert(service.to_owned(), 0.0);
        }
    }

    /// Gives a host its part of the slack at once, for what is to be spent before much is
    /// earned.
    pub fn grant(&mut self, service: &str, slack: f64, hosts: usize) {
        self.most = slack * SAVED / hosts.max(1) as f64;
        self.saved.insert(service.to_owned(), self.most);
    }

    /// Whether there is a repeat to spend.
    ///
    /// A host that may save up only a part of a repeat has one with the chance that the
    /// part is worth, and loses the part otherwise. So the hosts together spend what they
    /// have saved up, and no host needs a whole one: 1,205 hosts that all want one at once
    /// get 315 of a slack of 630, where a whole one each came to 1,205. What was drawn and
    /// is not spent is a part again at the next request.
    pub fn can_withdraw(&mut self, service: &str) -> bool {
        let draw = hash::unit_interval(hash::combine(self.seed, self.draws));
        let Some(saved) = self.saved.get_mut(service) else { return false };
        if *saved >= 1.0 || self.most >= 1.0 {
            return *saved >= 1.0;
        }
        self.draws += 1;
        *saved = if draw < *saved { 1.0 } else { 0.0 };
        *saved >= 1.0
    }

    /// Spends one repeat, if there is one.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let affords = self.can_withdraw(service);
        if let Some(saved) = self.saved.get_mut(service).filter(|_| affords) {
            *saved -= 1.0;
        }
        affords
    }
}
