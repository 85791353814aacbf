//! Bounds how many of something go on at once.

use std::{cell::Cell, rc::Rc};

/// Lets a bounded number through at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    free: Rc<Cell<usize>>,
}

/// A place that is given back when this is dropped.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl ConcurrencyLimit {
    /// A gate for so many at once.
    pub fn new(places: usize) -> ConcurrencyLimit {
        ConcurrencyLimit { free: Rc::new(Cell::new(places)) }
    }

    /// A place, if one is free.
    pub fn try_acquire(&self) -> Option<Permit> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(Permit(self.free.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}
