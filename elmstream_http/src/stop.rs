//! A signal to stop that many tasks can wait for.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// Waits for the signal; cheap to clone.
pub type Stop = Shared<StopFuture>;

/// Resolves once the [`Stopper`] was used or dropped.
pub type StopFuture =
    futures_util::future::Map<oneshot::Receiver<()>, fn(Result<(), oneshot::Canceled>)>;

/// Gives the signal.
#[derive(Clone, Debug)]
pub struct Stopper(Rc<RefCell<Option<oneshot::Sender<()>>>>);

impl Stopper {
    /// A signal and its waiting side.
    pub fn new() -> (Stopper, Stop) {
        let (sender, receiver) = oneshot::channel();
        let ignore: fn(Result<(), oneshot::Canceled>) = drop;
        let stop = receiver.map(ignore).shared();
        (Stopper(Rc::new(RefCell::new(Some(sender)))), stop)
    }

    /// Gives the signal; once is enough.
    pub fn stop(&self) {
        self.0.borrow_mut().take();
    }
}

/// Tells a server that its stop will come; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct StopNotice(Rc<Cell<bool>>);

impl StopNotice {
    /// Gives the notice; once is enough.
    pub fn announce(&self) {
        self.0.set(true);
    }

    /// Whether it was given.
    pub fn is_announced(&self) -> bool {
        self.0.get()
    }
}
