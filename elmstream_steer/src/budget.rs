//! Retry budget: keeps retries a small fraction of a service's requests, over all hosts.
//!
//! Each host withdraws only what its own requests have deposited, at slightly less than the
//! configured ratio, and its balance is capped at a small value. The sum over all hosts therefore
//! stays within the bound whatever the hosts know of each other, and a restarted host begins with
//! an empty balance.

use std::collections::HashMap;

use elmstream::time::Time;

use crate::{
    hash,
    retry_worth::{Deposit, RetryWorth, SpendingOrder, WORTHS},
};

/// Fraction of the ratio that a host deposits. Nearly all of it can be used, because retries in a
/// window that were not deposited in it come from balances, which `SLACK_FRACTION_SAVED` bounds.
const RATIO_FRACTION_DEPOSITED: f64 = 0.9;
/// Fraction of the fleet's slack that the balances of all hosts together may reach.
const SLACK_FRACTION_SAVED: f64 = 0.5;

/// Balances of one host, by service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    seed: u64,
    draw_count: u64,
    /// Maximum balance in retries. It is below one in a fleet with more hosts than the slack has
    /// retries.
    balance_max: f64,
    balances: HashMap<String, f64>,
    /// Order in which requests use the balances; without deposits in order, all are equal.
    order: SpendingOrder,
}

/// A retry that was withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// Value of the request that it was withdrawn for.
    pub worth: RetryWorth,
    /// By how much it lessened the part that requests of each value may use, in retries.
    lessened: [f64; WORTHS.len()],
}

impl Budgets {
    /// Creates empty balances; `seed` differs between hosts.
    pub fn new(seed: u64) -> Budgets {
        Budgets { seed, ..Budgets::default() }
    }

    /// Deposits a fraction of a retry for the first attempt of a request.
    pub fn deposit(&mut self, service: &str, ratio: f64, slack: f64, hosts: usize) {
        self.balance_max = slack * SLACK_FRACTION_SAVED / hosts.max(1) as f64;
        let balance_max = self.balance_max;
        if let Some(balance) = self.balances.get_mut(service) {
            *balance = (*balance + ratio * RATIO_FRACTION_DEPOSITED).min(balance_max);
        } else {
            self.balances.insert(service.to_owned(), 0.0);
        }
    }

    /// Deposits like [`Budgets::deposit`], and keeps a part for the more valuable requests.
    pub fn deposit_in_order(
        &mut self,
        now: Time,
        service: &str,
        ratio: f64,
        slack: f64,
        hosts: usize,
    ) {
        let before = self.balance(service);
        self.deposit(service, ratio, slack, hosts);
        let (balance, balance_max) = (self.balance(service), self.balance_max);
        let amount = ratio * RATIO_FRACTION_DEPOSITED;
        let deposit = Deposit { amount, before, balance, balance_max };
        self.order.record_deposit(now, service, deposit);
    }

    /// Counts a request that asks for a retry, for what later requests are expected to need.
    pub fn record_asked(&mut self, now: Time, service: &str, worth: RetryWorth) {
        self.order.record_asked(now, service, worth);
    }

    /// Ends the order in which requests use the balances.
    pub fn clear_order(&mut self) {
        self.order = SpendingOrder::default();
    }

    /// Sets a service's balance to the maximum at once, for hosts that need retries before many
    /// requests have made deposits.
    pub fn grant(&mut self, service: &str, slack: f64, hosts: usize) {
        self.balance_max = slack * SLACK_FRACTION_SAVED / hosts.max(1) as f64;
        self.balances.insert(service.to_owned(), self.balance_max);
    }

    /// Whether a retry can be withdrawn.
    ///
    /// A host whose maximum balance is below one retry draws at random: with a probability equal to
    /// its balance it gets a whole retry, otherwise it loses the balance. All hosts together then
    /// use what they have saved without any host needing a whole retry: of a slack of 630, 1,205
    /// hosts that all retry at once use 315, where a whole retry for each would come to 1,205. A
    /// drawn retry that is not withdrawn becomes a fraction again with the next deposit.
    pub fn can_withdraw(&mut self, service: &str) -> bool {
        self.can_withdraw_for(service, RetryWorth::LastChance)
    }

    /// Withdraws one retry if there is one. Returns whether it did.
    pub fn withdraw(&mut self, service: &str) -> bool {
        self.withdraw_for(service, RetryWorth::LastChance)
    }

    /// Whether a request of a value can withdraw a retry. A draw takes only the part of the balance
    /// that the request may use, and the rest remains.
    pub fn can_withdraw_for(&mut self, service: &str, worth: RetryWorth) -> bool {
        let draw = hash::unit_interval(hash::combine(self.seed, self.draw_count));
        let Some(balance) = self.balances.get_mut(service) else { return false };
        let free = self.order.free_part(service, worth);
        if self.balance_max >= 1.0 {
            return balance.min(free) >= 1.0;
        }
        if *balance >= 1.0 {
            return true;
        }
        self.draw_count += 1;
        let stake = balance.min(free);
        *balance -= stake;
        if draw < stake {
            *balance += 1.0;
        } else {
            self.order.record_used(service, worth, stake, *balance);
        }
        *balance >= 1.0
    }

    /// Withdraws one retry for a request of a value if there is one for it. Returns whether it did.
    pub fn withdraw_for(&mut self, service: &str, worth: RetryWorth) -> bool {
        self.take_for(service, worth).is_some()
    }

    /// Withdraws one retry as [`Budgets::withdraw_for`] does, in a form that can be returned; `None`
    /// if there is none.
    pub fn take_for(&mut self, service: &str, worth: RetryWorth) -> Option<Withdrawal> {
        if !self.can_withdraw_for(service, worth) {
            return None;
        }
        let balance = self.balances.get_mut(service)?;
        *balance -= 1.0;
        let lessened = self.order.record_used(service, worth, 1.0, *balance);
        Some(Withdrawal { worth, lessened })
    }

    /// Returns a retry that was withdrawn and not made. Deposits may have filled the balance
    /// meanwhile: it does not exceed its maximum, or one retry if that is less.
    pub fn give_back(&mut self, service: &str, withdrawal: Withdrawal) {
        let Some(balance) = self.balances.get_mut(service) else { return };
        *balance = (*balance + 1.0).min(self.balance_max.max(1.0));
        self.order.record_returned(service, withdrawal.lessened, *balance);
    }

    /// Balance of a service, in retries.
    fn balance(&self, service: &str) -> f64 {
        self.balances.get(service).copied().unwrap_or_default()
    }
}
