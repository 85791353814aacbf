//! The retry budget: retries are a small share of first tries.

/// Hundredths of a retry that may be saved up.
const SAVED_MAX: u32 = 1_000;
/// Hundredths that one retry costs.
const COST: u32 = 100;

/// Budget of one service on one entry host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Hundredths of a retry that are saved up.
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// A first try earns a share of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + percent).min(SAVED_MAX);
    }

    /// Spends one retry, if the budget has it.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.saved >= COST;
        if enough {
            self.saved -= COST;
        }
        enough
    }
}
