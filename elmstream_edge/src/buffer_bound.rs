//! Counts the bytes that the host holds for callers' requests and servers' answers, and admits
//! bodies of requests up to a bound.
//!
//! A body of a stated length is admitted whole before any of it is read; one without grows in
//! steps as it comes in. If only such bodies hold room, the oldest of them goes on and may pass the
//! bound by its own length, so that bodies read in part do not wait for each other without end. Answers are
//! never held back, because a server cuts off an answer that stays unread; they take at most half
//! of the bound away from bodies. If all answers together pass a bound of their own, the longest of those
//! that are being read is broken off: a server in trouble may send without end.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use futures_channel::oneshot;

/// Counts held bytes; clones share the count. The default one counts nothing.
///
/// It is `Send` because the bytes that carry a part of the count must be.
#[derive(Clone, Debug, Default)]
pub struct BufferBound(Option<Arc<Mutex<State>>>);

#[derive(Debug, Default)]
struct State {
    /// Bound on the held bytes; 0 for none.
    total: u64,
    /// Bytes that all answers together may take; 0 for no bound.
    answers_max: u64,
    /// Bytes held for bodies of requests.
    bodies: u64,
    /// Bytes held for answers.
    answers: u64,
    peak: u64,
    /// Number of the next body; an older body has a smaller one.
    next_number: u64,
    /// Numbers of the bodies that grow.
    growing: BTreeSet<u64>,
    /// Bytes held for these, a part of `bodies`.
    growing_bytes: u64,
    /// Bytes of each answer that is being read, by its number.
    reading: BTreeMap<u64, u64>,
    /// Bodies that wait, by their number.
    waiting: VecDeque<WaitingBody>,
}

#[derive(Debug)]
struct WaitingBody {
    number: u64,
    /// Bytes that it needs besides those that it holds.
    bytes: u64,
    sender: oneshot::Sender<Held>,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    Answer,
    /// An answer that is being read.
    GrowingAnswer {
        number: u64,
    },
    Body,
    GrowingBody {
        number: u64,
    },
}

impl State {
    fn held(&self) -> u64 {
        self.bodies + self.answers
    }

    fn count(&mut self, purpose: Purpose) -> &mut u64 {
        match purpose {
            Purpose::Answer | Purpose::GrowingAnswer { .. } => &mut self.answers,
            Purpose::Body | Purpose::GrowingBody { .. } => &mut self.bodies,
        }
    }

    fn add(&mut self, purpose: Purpose, bytes: u64) {
        *self.count(purpose) += bytes;
        if let Purpose::GrowingAnswer { number } = purpose {
            *self.reading.entry(number).or_default() += bytes;
        }
        self.peak = self.peak.max(self.held());
    }

    fn fits(&self, body: &WaitingBody) -> bool {
        let room = self.total - self.answers.min(self.total / 2);
        self.bodies == 0
            || self.bodies + body.bytes <= room
            || self.bodies == self.growing_bytes && self.growing.first() == Some(&body.number)
    }

    fn enqueue(&mut self, body: WaitingBody) {
        let place = self.waiting.partition_point(|other| other.number <= body.number);
        self.waiting.insert(place, body);
    }

    /// The first body that waits, counted as held, if it fits.
    fn admit_next(&mut self) -> Option<WaitingBody> {
        self.waiting.retain(|body| !body.sender.is_canceled());
        let next = self.waiting.front().filter(|body| self.fits(body))?;
        let bytes = next.bytes;
        self.add(Purpose::Body, bytes);
        self.waiting.pop_front()
    }
}

impl BufferBound {
    /// Counts bytes, with a bound of `total_bytes` on those held; 0 for none.
    pub fn new(total_bytes: u64) -> BufferBound {
        let state = State { total: total_bytes, ..State::default() };
        BufferBound(Some(Arc::new(Mutex::new(state))))
    }

    /// Sets a bound on the bytes of all answers together; 0 for none.
    pub fn with_answers_max(self, answers_max: u64) -> BufferBound {
        if let Some(mut state) = self.state() {
            state.answers_max = answers_max;
        }
        self
    }

    /// Whether bytes are counted.
    pub fn counts(&self) -> bool {
        self.0.is_some()
    }

    /// Whether there is a bound.
    pub fn is_bounded(&self) -> bool {
        self.state().is_some_and(|state| state.total > 0)
    }

    /// Bytes that are held now.
    pub fn held(&self) -> u64 {
        self.state().map_or(0, |state| state.held())
    }

    /// The most bytes that were held at one time.
    pub fn peak(&self) -> u64 {
        self.state().map_or(0, |state| state.peak)
    }

    /// Number of bodies that wait until they are admitted or may grow.
    pub fn waiting(&self) -> usize {
        let waits = |body: &&WaitingBody| !body.sender.is_canceled();
        self.state().map_or(0, |state| state.waiting.iter().filter(waits).count())
    }

    /// Starts to hold an answer, without regard to the bound; no bytes at first.
    pub fn hold(&self) -> Held {
        let purpose = Purpose::GrowingAnswer { number: self.next_number() };
        Held { bound: self.clone(), purpose, bytes: 0 }
    }

    /// Waits until a body of `bytes` bytes fits, after those that came before it. A body that is
    /// larger than the bound is admitted alone.
    pub async fn admit(&self, bytes: u64) -> Held {
        let number = self.next_number();
        self.wait_for(number, bytes).await
    }

    /// Waits like [`BufferBound::admit`] for the first `bytes` bytes of a body that grows.
    pub async fn admit_growing(&self, bytes: u64) -> Held {
        let number = self.next_number();
        let mut held = self.wait_for(number, bytes).await;
        if let Some(mut state) = self.state() {
            state.growing.insert(number);
            state.growing_bytes += held.bytes;
        }
        held.purpose = Purpose::GrowingBody { number };
        held
    }

    fn next_number(&self) -> u64 {
        let Some(mut state) = self.state() else { return 0 };
        state.next_number += 1;
        state.next_number
    }

    async fn wait_for(&self, number: u64, bytes: u64) -> Held {
        let none = Held { bound: self.clone(), purpose: Purpose::Body, bytes: 0 };
        let (sender, receiver) = oneshot::channel();
        match self.state() {
            Some(mut state) if state.total > 0 => {
                let bytes = bytes.min(state.total);
                state.enqueue(WaitingBody { number, bytes, sender });
            }
            _ => {
                let mut held = none;
                held.grow_to(bytes);
                return held;
            }
        }
        let mut waiting = Waiting { bound: self, receiver };
        self.admit_waiting();
        let admitted = (&mut waiting.receiver).await;
        // The sender is dropped unused only together with the last handle of the bound.
        admitted.unwrap_or(none)
    }

    fn admit_waiting(&self) {
        loop {
            let next = self.state().and_then(|mut state| state.admit_next());
            let Some(WaitingBody { bytes, sender, .. }) = next else { break };
            let purpose = Purpose::Body;
            // If the request has ended meanwhile, dropping the result gives the bytes back.
            drop(sender.send(Held { bound: self.clone(), purpose, bytes }));
        }
        metrics::gauge!("elmstream_buffered_bytes").set(self.held() as f64);
    }

    fn state(&self) -> Option<MutexGuard<'_, State>> {
        self.0.as_ref().map(|state| state.lock().unwrap_or_else(PoisonError::into_inner))
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
    purpose: Purpose,
    bytes: u64,
}

impl Held {
    /// Bytes of the part.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Raises the part to at least `bytes`, without regard to the bound.
    pub fn grow_to(&mut self, bytes: u64) {
        let more = bytes.saturating_sub(self.bytes);
        if let Some(mut state) = self.bound.state() {
            state.add(self.purpose, more);
            if matches!(self.purpose, Purpose::GrowingBody { .. }) {
                state.growing_bytes += more;
            }
            self.bytes += more;
        }
    }

    /// Whether this is an answer that has to be broken off: all answers together pass their bound, and
    /// none that is being read is longer.
    pub fn is_excessive(&self) -> bool {
        let (Purpose::GrowingAnswer { .. }, Some(state)) = (self.purpose, self.bound.state())
        else {
            return false;
        };
        let longest = state.reading.values().max().copied().unwrap_or(0);
        state.answers_max > 0 && state.answers > state.answers_max && self.bytes >= longest
    }

    /// Waits until a body that grows may hold `bytes` more.
    pub async fn grow_by(&mut self, bytes: u64) {
        let Purpose::GrowingBody { number } = self.purpose else { return };
        let mut more = self.bound.wait_for(number, bytes).await;
        if let Some(mut state) = self.bound.state() {
            state.growing_bytes += more.bytes;
        }
        self.bytes += mem::take(&mut more.bytes);
    }

    /// Ties the part to these bytes: it is their length from now on, and is given back when the
    /// last clone of them is dropped.
    pub fn attach(mut self, bytes: Vec<u8>) -> Bytes {
        let length = bytes.len() as u64;
        self.grow_to(length);
        self.end_growth();
        self.give_back(self.bytes.saturating_sub(length));
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Counted { bytes, _held: self })
    }

    fn end_growth(&mut self) {
        if let (Purpose::GrowingBody { number }, Some(mut state)) =
            (self.purpose, self.bound.state())
        {
            state.growing.remove(&number);
            state.growing_bytes -= self.bytes;
        }
        if let (Purpose::GrowingAnswer { number }, Some(mut state)) =
            (self.purpose, self.bound.state())
        {
            state.reading.remove(&number);
        }
        self.purpose = match self.purpose {
            Purpose::GrowingBody { .. } => Purpose::Body,
            Purpose::GrowingAnswer { .. } => Purpose::Answer,
            purpose => purpose,
        };
    }

    fn give_back(&mut self, bytes: u64) {
        if let Some(mut state) = self.bound.state() {
            self.bytes -= bytes;
            *state.count(self.purpose) -= bytes;
        }
        self.bound.admit_waiting();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.end_growth();
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
