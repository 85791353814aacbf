//! Signal handling that neither misses a signal nor lets one end the process.

use std::{io, pin::Pin};

use compio::signal::unix::signal;
use futures_util::FutureExt;

/// Signal to reload the settings.
pub const SIGHUP: i32 = libc::SIGHUP;
/// Signal to begin a planned stop.
pub const SIGTERM: i32 = libc::SIGTERM;

/// Wait for one signal; signals count from its first poll on.
type Wait = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Receives the signals with one number that arrive after this is created.
pub struct Signals {
    number: i32,
    /// Wait for the next signal; `None` if the signal arrived when the wait was started.
    next: Option<Wait>,
}

impl Signals {
    /// Handles the signal for the rest of the process's life.
    ///
    /// The runtime restores the default action, which ends the process, when the last wait for
    /// the signal ends. A second SIGTERM would then abort the requests of a host that is
    /// stopping, and a signal between two waits would end the process. So one wait is leaked and
    /// never ends.
    pub fn new(number: i32) -> io::Result<Signals> {
        let next = start_wait(number)?;
        if let Some(wait) = start_wait(number)? {
            Box::leak(Box::new(wait));
        }
        Ok(Signals { number, next })
    }

    /// Waits for the next signal. Several that arrived since the last call count as one.
    pub async fn recv(&mut self) -> io::Result<()> {
        if let Some(wait) = self.next.take() {
            wait.await?;
        }
        // Signals that arrive from here on are returned by the next call.
        self.next = start_wait(self.number)?;
        Ok(())
    }
}

/// Starts a wait for a signal. `None` if the signal arrived at once.
fn start_wait(number: i32) -> io::Result<Option<Wait>> {
    let mut wait: Wait = Box::pin(signal(number));
    match wait.as_mut().now_or_never() {
        Some(ended) => ended.map(|()| None),
        None => Ok(Some(wait)),
    }
}
