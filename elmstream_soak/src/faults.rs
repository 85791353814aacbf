//! Faults drawn from a seed, alone and on top of each other.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::world::{ServerMode, StoreMode};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A host is killed, and starts again.
    Kill(usize),
    /// A host stands still for a while.
    Freeze(usize),
    /// A host is asked to stop, and starts again.
    Terminate(usize),
    /// All hosts are killed, and start again.
    KillAll,
    /// The store behaves badly.
    Store(StoreMode),
    /// The store turns a host away.
    TurnAway(usize),
    /// A backend server behaves badly.
    Server(usize, ServerMode),
    /// A backend server leaves, and another one comes.
    Replace(usize),
    /// The configuration changes.
    Configure,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When, in milliseconds after the beginning.
    pub at: u64,
    /// How long, in milliseconds.
    pub lasts: u64,
    /// What.
    pub fault: Fault,
}

/// Time before the first fault, and after the last one.
pub const CALM: u64 = 2_500;

/// The events of a seed, in order.
pub fn draw(seed: u64, millis: u64, hosts: usize, servers: usize) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = CALM;
    while at + CALM < millis {
        let fault = match random.random_range(0..12) {
            0 => Fault::Kill(random.random_range(0..hosts)),
            1 => Fault::Freeze(random.random_range(0..hosts)),
            2 => Fault::Terminate(random.random_range(0..hosts)),
            3 if random.random_bool(0.3) => Fault::KillAll,
            3 | 4 => Fault::Store(StoreMode::Down),
            5 => Fault::Store(if random.random_bool(0.5) {
                StoreMode::Silent
            } else {
                StoreMode::Slow
            }),
            6 => Fault::TurnAway(random.random_range(0..hosts)),
            7 => Fault::Server(random.random_range(0..servers), ServerMode::Dark),
            8 => Fault::Server(random.random_range(0..servers), ServerMode::Cutting),
            9 => Fault::Server(random.random_range(0..servers), ServerMode::Mixing),
            10 => Fault::Replace(random.random_range(0..servers)),
            _ => Fault::Configure,
        };
        events.push(Event { at, lasts: random.random_range(300..2_500), fault });
        at += random.random_range(100..1_500);
    }
    events
}
