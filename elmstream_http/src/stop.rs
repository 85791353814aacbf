//! A stop signal that many tasks can wait for.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// Resolves at the stop signal; cheap to clone.
pub type Stop = Shared<StopFuture>;

/// Resolves once the [`Stopper`] is used or dropped.
pub type StopFuture =
    futures_util::future::Map<oneshot::Receiver<()>, fn(Result<(), oneshot::Canceled>)>;

/// Sends the stop signal, at the latest when its last clone is dropped.
#[derive(Clone, Debug)]
pub struct Stopper(Rc<RefCell<Option<oneshot::Sender<()>>>>);

impl Stopper {
    /// A signal and the future that waits for it.
    pub fn new() -> (Stopper, Stop) {
        let (sender, receiver) = oneshot::channel();
        let ignore: fn(Result<(), oneshot::Canceled>) = drop;
        let stop = receiver.map(ignore).shared();
        (Stopper(Rc::new(RefCell::new(Some(sender)))), stop)
    }

    /// Sends the signal; further calls have no effect.
    pub fn stop(&self) {
        self.0.borrow_mut().take();
    }
}

/// Announces a coming stop to a server; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct StopNotice(Rc<Cell<bool>>);

impl StopNotice {
    /// Announces the stop; further calls have no effect.
    pub fn announce(&self) {
        self.0.set(true);
    }

    /// Whether the stop was announced.
    pub fn is_announced(&self) -> bool {
        self.0.get()
    }
}
