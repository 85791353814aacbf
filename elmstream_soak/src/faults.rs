//! Faults drawn from a seed, alone and on top of each other.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    series,
    world::{ServerMode, StoreMode},
};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A host is killed, and starts again.
    Kill(usize),
    /// A host stands still for a while.
    Freeze(usize),
    /// A host is asked to stop, and starts again; asked once more if it is stopping.
    Terminate(usize),
    /// A host gets little processor time for a while.
    Starve(usize),
    /// A host is told that its settings have changed.
    Reload(usize),
    /// The same many times in a row.
    ReloadBurst(usize),
    /// All hosts are killed, and start again.
    KillAll,
    /// The store behaves badly.
    Store(StoreMode),
    /// The store closes all connections, and comes back from a copy that is so old, in
    /// milliseconds; the operator writes again after the other time.
    Restore(u64, u64),
    /// The store's connections that are open go mute for good; new ones work.
    MuteConnections,
    /// The store turns a host away.
    RefuseHost(usize),
    /// A backend server behaves badly.
    Server(usize, ServerMode),
    /// A backend server leaves, and another one comes.
    Replace(usize),
    /// The same, but the server says so in its answers only.
    Leave(usize),
    /// A backend server turns requests away and asks for rest.
    BackOff(usize),
    /// A backend server names a limit.
    NameLimit(usize),
    /// The configuration changes.
    Configure,
    /// The shop is rolled out, to a version that is bad or not.
    RollOut(bool),
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When, in milliseconds after the beginning.
    pub at_ms: u64,
    /// How long, in milliseconds.
    pub duration_ms: u64,
    /// What.
    pub fault: Fault,
}

/// In one of so many steps the store comes back from a copy as well.
const RESTORE_OF: u32 = 5;

/// Time before the first fault, and after the last one.
pub const CALM_MARGIN_MS: u64 = 2_500;

/// The events of a seed, in order.
pub fn draw(seed: u64, millis: u64, hosts: usize, servers: usize) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = CALM_MARGIN_MS;
    while at + CALM_MARGIN_MS < millis {
        let lasts = random.random_range(300..2_500);
        let mut one = |fault| events.push(Event { at_ms: at, duration_ms: lasts, fault });
        match random.random_range(0..18) {
            0 => one(Fault::Kill(random.random_range(0..hosts))),
            1 => one(Fault::Freeze(random.random_range(0..hosts))),
            2 => one(Fault::Terminate(random.random_range(0..hosts))),
            3 if random.random_bool(0.3) => one(Fault::KillAll),
            3 => one(Fault::Store(StoreMode::Refusing)),
            4 => one(Fault::Store(StoreMode::Slow)),
            5 => one(Fault::MuteConnections),
            6 => one(Fault::RefuseHost(random.random_range(0..hosts))),
            7 => one(Fault::Server(random.random_range(0..servers), ServerMode::Unresponsive)),
            8 => one(Fault::Server(random.random_range(0..servers), ServerMode::Closing)),
            9 => one(Fault::Server(random.random_range(0..servers), ServerMode::MixingIds)),
            10 => one(Fault::Replace(random.random_range(0..servers))),
            11 => one(Fault::Configure),
            12 | 13 => series::rolling_stops(&mut random, at, hosts, &mut events),
            14 => series::reloads(&mut random, at, hosts, &mut events),
            15 => series::configurations(at, 2 * lasts, &mut events),
            _ => series::silence(&mut random, at, &mut events),
        }
        if random.random_range(0..RESTORE_OF) == 0 {
            series::restore(&mut random, at, &mut events);
        }
        at += random.random_range(100..1_500);
    }
    series::server_signals(seed, millis, servers, &mut events);
    series::roll_outs(seed, millis, &mut events);
    events.retain(|event| event.at_ms + CALM_MARGIN_MS < millis);
    events.sort_by_key(|event| event.at_ms);
    events
}
