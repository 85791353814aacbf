//! Bounds the number of operations that run at once.

use std::{cell::Cell, rc::Rc};

/// Hands out a bounded number of permits; clones share them.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    free: Rc<Cell<usize>>,
}

/// Permission to run one operation; dropping it returns it.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl ConcurrencyLimit {
    /// A limit of `max` concurrent operations.
    pub fn new(max: usize) -> ConcurrencyLimit {
        ConcurrencyLimit { free: Rc::new(Cell::new(max)) }
    }

    /// A permit, or `None` if all are taken.
    pub fn try_acquire(&self) -> Option<Permit> {
        let remaining = self.free.get().checked_sub(1)?;
        self.free.set(remaining);
        Some(Permit(self.free.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}
