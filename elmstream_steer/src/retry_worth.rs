//! Order in which requests use a service's retry budget.
//!
//! A caller that is refused for the first time comes back; one that has come back, or has too
//! little time left for that, is lost. Requests of the second sort may use the whole balance, the
//! others the part that more valuable requests are not expected to need. The expectation comes from
//! the requests that asked this host for a retry in the last seconds. When nobody more valuable
//! asks, the whole balance is free to all.

use std::collections::HashMap;

use elmstream::time::Time;

/// Time in which counts of requests and deposits decay to 1/e, in microseconds.
const COUNT_DECAY_US: f64 = 3e6;
/// Fraction of its remaining time that a refused caller waits at most before it comes back.
const WAIT_FRACTION_MAX: f64 = 1.0 / 3.0;
/// Multiple of the mean answer time that must remain to a caller that comes back.
const ANSWER_TIMES_NEEDED: f64 = 1.5;
/// Priority of the most urgent routes.
const URGENT_PRIORITY: u32 = 0;

/// Value of a second send to its caller, in ascending order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryWorth {
    /// The caller can come back later.
    Deferrable,
    /// The caller can come back later, and its request is urgent.
    Urgent,
    /// The caller is lost if the request is refused or fails.
    LastChance,
}

/// All values, in ascending order.
pub const WORTHS: [RetryWorth; 3] =
    [RetryWorth::Deferrable, RetryWorth::Urgent, RetryWorth::LastChance];

impl RetryWorth {
    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RetryWorth::Deferrable => "deferrable",
            RetryWorth::Urgent => "urgent",
            RetryWorth::LastChance => "last_chance",
        }
    }

    /// Value of a second send of a request.
    pub fn of(request: &RetryRequest) -> RetryWorth {
        if request.returning || !request.can_come_back() {
            RetryWorth::LastChance
        } else if request.priority == URGENT_PRIORITY {
            RetryWorth::Urgent
        } else {
            RetryWorth::Deferrable
        }
    }
}

/// What determines the value of a second send.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Whether the caller was refused before.
    pub returning: bool,
    /// Whether a server may have run the request; its caller then gets an error that names no time,
    /// and comes back at once.
    pub may_have_run: bool,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Time until the caller must have the answer, in milliseconds.
    pub remaining_ms: u64,
    /// Time after which a refused caller is told to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Mean answer time of the service, in milliseconds.
    pub answer_ms: f64,
}

impl RetryRequest {
    /// Whether time for an answer remains after the wait for the next attempt.
    fn can_come_back(&self) -> bool {
        let remaining_ms = self.remaining_ms as f64;
        let wait_ms = match self.may_have_run {
            true => 0.0,
            false => (self.retry_after_ms as f64).min(remaining_ms * WAIT_FRACTION_MAX),
        };
        remaining_ms - wait_ms >= self.answer_ms * ANSWER_TIMES_NEEDED
    }
}

/// A deposit into a balance; all amounts are in retries.
#[derive(Clone, Copy, Debug)]
pub struct Deposit {
    /// The deposit itself.
    pub amount: f64,
    /// The balance before it.
    pub before: f64,
    /// The balance after it.
    pub balance: f64,
    /// Maximum of the balance.
    pub balance_max: f64,
}

/// The parts of one host's balances that requests of each value may use, by service.
#[derive(Clone, Debug, Default)]
pub struct SpendingOrder {
    accounts: HashMap<String, Account>,
}

/// Counts of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Decayed number of requests that asked for a retry, by value.
    asked: [f64; WORTHS.len()],
    /// Decayed sum of the deposits, in retries.
    deposited: f64,
    /// When the counts were last decayed.
    at: Time,
    /// Part of the balance that is free to requests of each value, in retries.
    free: [f64; WORTHS.len()],
}

impl SpendingOrder {
    /// Counts a deposit.
    pub fn record_deposit(&mut self, now: Time, service: &str, deposit: Deposit) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.deposit(now, deposit);
        } else {
            self.accounts.insert(service.to_owned(), Account::default());
        }
    }

    /// Counts a request that asks for a retry.
    pub fn record_asked(&mut self, now: Time, service: &str, worth: RetryWorth) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.decay(now);
            account.asked[worth as usize] += 1.0;
        }
    }

    /// Part of a balance that a request may use, in retries; a last chance may use all of it.
    pub fn free_part(&self, service: &str, worth: RetryWorth) -> f64 {
        match (worth, self.accounts.get(service)) {
            (RetryWorth::LastChance, _) | (_, None) => f64::INFINITY,
            (_, Some(account)) => account.free[worth as usize],
        }
    }

    /// Records that a request used `amount` retries and left a balance of `balance`. Returns by how
    /// much this lessened the part that requests of each value may use, in retries.
    pub fn record_used(
        &mut self,
        service: &str,
        worth: RetryWorth,
        amount: f64,
        balance: f64,
    ) -> [f64; WORTHS.len()] {
        let mut lessened = [0.0; WORTHS.len()];
        let Some(account) = self.accounts.get_mut(service) else { return lessened };
        for ((other, free), less) in WORTHS.into_iter().zip(&mut account.free).zip(&mut lessened) {
            let before = *free;
            if other <= worth && worth != RetryWorth::LastChance {
                *free -= amount;
            }
            *free = free.clamp(0.0, balance.max(0.0));
            *less = before - *free;
        }
        lessened
    }

    /// Records that a retry was returned, which left a balance of `balance`; `lessened` is what
    /// [`SpendingOrder::record_used`] returned for it.
    pub fn record_returned(&mut self, service: &str, lessened: [f64; WORTHS.len()], balance: f64) {
        let Some(account) = self.accounts.get_mut(service) else { return };
        for (free, less) in account.free.iter_mut().zip(lessened) {
            *free = (*free + less).clamp(0.0, balance.max(0.0));
        }
    }
}

impl Account {
    fn decay(&mut self, now: Time) {
        let weight = (-(now.since(self.at) as f64) / COUNT_DECAY_US).exp();
        self.at = now;
        self.deposited *= weight;
        self.asked.iter_mut().for_each(|count| *count *= weight);
    }

    fn deposit(&mut self, now: Time, deposit: Deposit) {
        let Deposit { amount, before, balance, balance_max } = deposit;
        self.decay(now);
        self.deposited += amount;
        // A small balance has no room for a whole retry besides the one that it gives away, so it
        // must be kept for longer.
        let reserve_factor = 1.0 + 1.0 / balance_max;
        // Draws use fractions. What the maximum cuts off is lost to all if nobody uses it.
        let unused = if balance_max < 1.0 { (before + amount - balance_max).max(0.0) } else { 0.0 };
        for worth in WORTHS {
            let needed: f64 = self.asked[worth as usize + 1..].iter().sum();
            let needed = needed * reserve_factor / self.deposited.max(f64::MIN_POSITIVE);
            let free = &mut self.free[worth as usize];
            *free = (*free + amount * (1.0 - needed).max(0.0) + unused).min(balance);
        }
    }
}
