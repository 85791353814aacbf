//! Counts the bytes that the host holds for callers' requests and servers' answers, and admits
//! bodies of requests up to a bound.
//!
//! A body is admitted whole before any of it is read, so that bodies read in part never wait for
//! each other. Answers are never held back, because a server cuts off an answer that stays unread;
//! what they hold is not available to bodies.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use futures_channel::oneshot;

/// Counts held bytes; clones share the count.
///
/// It is `Send` because the bytes that carry a part of the count must be.
#[derive(Clone, Debug, Default)]
pub struct BufferBound(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Bound on the held bytes; 0 for none.
    total: u64,
    held: u64,
    peak: u64,
    /// Bodies that wait, in order of their arrival, with their sizes in bytes.
    waiting: VecDeque<(u64, oneshot::Sender<Held>)>,
}

impl State {
    fn add(&mut self, bytes: u64) {
        self.held += bytes;
        self.peak = self.peak.max(self.held);
    }

    /// The first body that waits, counted as held, if it fits.
    fn admit_next(&mut self) -> Option<(u64, oneshot::Sender<Held>)> {
        while self.waiting.front().is_some_and(|(_, sender)| sender.is_canceled()) {
            self.waiting.pop_front();
        }
        let (bytes, _) = self.waiting.front()?;
        if self.held + bytes > self.total {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.add(next.0);
        Some(next)
    }
}

impl BufferBound {
    /// A bound of `total_bytes` on the bytes held; 0 for none.
    pub fn new(total_bytes: u64) -> BufferBound {
        BufferBound(Arc::new(Mutex::new(State { total: total_bytes, ..State::default() })))
    }

    /// Whether there is a bound.
    pub fn is_bounded(&self) -> bool {
        self.state().total > 0
    }

    /// Bytes that are held now.
    pub fn held(&self) -> u64 {
        self.state().held
    }

    /// The most bytes that were held at one time.
    pub fn peak(&self) -> u64 {
        self.state().peak
    }

    /// Number of bodies that wait until they are admitted.
    pub fn waiting(&self) -> usize {
        self.state().waiting.iter().filter(|(_, sender)| !sender.is_canceled()).count()
    }

    /// Starts to hold bytes without regard to the bound; none at first.
    pub fn hold(&self) -> Held {
        Held { bound: self.clone(), bytes: 0 }
    }

    /// Waits until a body of `bytes` bytes fits, after those that came before it. A body that is
    /// larger than the bound is admitted alone.
    pub async fn admit(&self, bytes: u64) -> Held {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state();
            if state.total == 0 {
                state.add(bytes);
                return Held { bound: self.clone(), bytes };
            }
            let bytes = bytes.min(state.total);
            state.waiting.push_back((bytes, sender));
        }
        let mut waiting = Waiting { bound: self, receiver };
        self.admit_waiting();
        let admitted = (&mut waiting.receiver).await;
        // The sender is dropped unused only together with the last handle of the bound.
        admitted.unwrap_or_else(|oneshot::Canceled| self.hold())
    }

    fn admit_waiting(&self) {
        loop {
            let next = self.state().admit_next();
            let Some((bytes, sender)) = next else { break };
            // If the request has ended meanwhile, dropping the result gives the bytes back.
            drop(sender.send(Held { bound: self.clone(), bytes }));
        }
        metrics::gauge!("elmstream_buffered_bytes").set(self.held() as f64);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that waits; dropping this lets those behind it go on.
struct Waiting<'a> {
    bound: &'a BufferBound,
    receiver: oneshot::Receiver<Held>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        self.bound.admit_waiting();
    }
}

/// A part of the count; dropping this gives its bytes back.
#[derive(Debug)]
pub struct Held {
    bound: BufferBound,
    bytes: u64,
}

impl Held {
    /// Raises the part to at least `bytes`, without regard to the bound.
    pub fn grow_to(&mut self, bytes: u64) {
        let more = bytes.saturating_sub(self.bytes);
        self.bound.state().add(more);
        self.bytes += more;
    }

    /// Ties the part to these bytes: it is their length from now on, and is given back when the
    /// last clone of them is dropped.
    pub fn attach(mut self, bytes: Vec<u8>) -> Bytes {
        let length = bytes.len() as u64;
        self.grow_to(length);
        self.give_back(self.bytes - length);
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Counted { bytes, _held: self })
    }

    fn give_back(&mut self, bytes: u64) {
        self.bytes -= bytes;
        self.bound.state().held -= bytes;
        self.bound.admit_waiting();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

/// Bytes with their part of the count.
struct Counted {
    bytes: Vec<u8>,
    _held: Held,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
