//! Retry budget: limits retries to a small percentage of the first attempts.

/// Highest balance of a budget, in hundredths of a retry.
const BALANCE_MAX: u32 = 1_000;
/// Cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Retry budget of one service on one entry host. Starts with a full balance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance in hundredths of a retry.
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: BALANCE_MAX }
    }
}

impl RetryBudget {
    /// Deposits the share of a retry that one first attempt earns, in percent of
    /// a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.balance = (self.balance + percent).min(BALANCE_MAX);
    }

    /// Withdraws one retry. Returns `false` and leaves the balance unchanged if
    /// it is too low.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= RETRY_COST;
        if enough {
            self.balance -= RETRY_COST;
        }
        enough
    }
}
