//! Signals of one kind, none of which ends the process or is missed.

use std::{io, pin::Pin};

use compio::signal::unix::signal;
use futures_util::FutureExt;

/// The signal that tells of changed settings.
pub const SIGHUP: i32 = libc::SIGHUP;
/// The signal that asks for a planned stop.
pub const SIGTERM: i32 = libc::SIGTERM;

/// One wait for a signal; it counts from when it was first polled.
type Wait = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Signals of one kind, from the moment at which this is made.
pub struct Signals {
    number: i32,
    /// The wait for the next one; none if it came as the wait began.
    next: Option<Wait>,
}

impl Signals {
    /// Takes over the signal for the rest of the process.
    ///
    /// The default action comes back with the end of the last wait. It ends the process
    /// at once, which cut the requests of a host that was asked to stop twice, and in 2
    /// of 3 tries ended one that was sent 400 signals in a row. So one wait never ends.
    pub fn new(number: i32) -> io::Result<Signals> {
        let next = begin(number)?;
        if let Some(wait) = begin(number)? {
            Box::leak(Box::new(wait));
        }
        Ok(Signals { number, next })
    }

    /// Waits for the next signal. Several that came since the last one count as one.
    pub async fn recv(&mut self) -> io::Result<()> {
        if let Some(wait) = self.next.take() {
            wait.await?;
        }
        // What comes from here on is told by the next call.
        self.next = begin(self.number)?;
        Ok(())
    }
}

/// Begins a wait; none if the signal came at once.
fn begin(number: i32) -> io::Result<Option<Wait>> {
    let mut wait: Wait = Box::pin(signal(number));
    match wait.as_mut().now_or_never() {
        Some(ended) => ended.map(|()| None),
        None => Ok(Some(wait)),
    }
}
