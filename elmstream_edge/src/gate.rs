//! Bounds how many of something go on at once.

use std::{cell::Cell, rc::Rc};

/// Lets a bounded number through at once.
#[derive(Clone, Debug)]
pub struct Gate {
    free: Rc<Cell<usize>>,
}

/// A place that is given back when this is dropped.
#[derive(Debug)]
pub struct Pass(Rc<Cell<usize>>);

impl Gate {
    /// A gate for so many at once.
    pub fn new(places: usize) -> Gate {
        Gate { free: Rc::new(Cell::new(places)) }
    }

    /// A place, if one is free.
    pub fn enter(&self) -> Option<Pass> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(Pass(self.free.clone()))
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}
