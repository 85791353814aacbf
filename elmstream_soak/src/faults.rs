//! Faults drawn from a seed; their durations may overlap.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    series,
    world::{ServerMode, StoreMode},
};

/// A fault. Hosts and servers are given by index; host faults affect one host unless stated
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The host is killed, and started again after the fault's duration.
    Kill(usize),
    /// The host is frozen by a signal for the fault's duration.
    Freeze(usize),
    /// The host is asked to stop as planned, and started again. A host that is already
    /// stopping gets a second stop signal.
    Terminate(usize),
    /// The host gets little processor time for the fault's duration.
    Starve(usize),
    /// The host is signalled to reload its settings.
    Reload(usize),
    /// The host gets many reload signals in a row.
    ReloadBurst(usize),
    /// All hosts are killed, and started again after the fault's duration.
    KillAll,
    /// The store behaves in the given way for the fault's duration.
    Store(StoreMode),
    /// The store closes all connections for the fault's duration and is then restored from a
    /// backup. The first value is the backup's age, the second the time from the restore
    /// until the operator writes again, both in milliseconds.
    Restore(u64, u64),
    /// Open connections to the store never answer again; new ones work.
    MuteConnections,
    /// The store refuses the host's requests for the fault's duration.
    RefuseHost(usize),
    /// The backend server behaves in the given way for the fault's duration.
    Server(usize, ServerMode),
    /// The backend server is drained and removed, and another one takes its address.
    Replace(usize),
    /// The backend server leaves and announces this only in its answers; another one takes
    /// over.
    Leave(usize),
    /// The backend server refuses requests for the fault's duration and asks for back-off.
    BackOff(usize),
    /// The backend server announces a limit in its answers.
    NameLimit(usize),
    /// A server joins, the host is killed for the fault's duration, and the server's entry is
    /// removed just before the host starts again.
    RemoveServerAtStart(usize),
    /// A server joins, the host stands still for 3.5 s, and soon after that the server leaves
    /// without notice.
    RemoveServerAfterStandstill(usize),
    /// A server joins and leaves, and the store completes one of its older heartbeats after that.
    CompleteLate,
    /// The backend server answers without end for the fault's duration.
    AnswerWithoutEnd(usize),
    /// Thousands of connections come to the host at once and stay for the fault's duration.
    ConnectionBurst(usize),
    /// The host loses its paths to all backend servers for the fault's duration.
    CutFromServers(usize),
    /// A new configuration is applied.
    Configure,
    /// Homes move with configurations, from the beginning of the soak; a new configuration is applied.
    MoveHomes,
    /// The same, and the host is cut from all backend servers and stands still while the configuration
    /// is applied.
    MoveHomesBesideCut(usize),
    /// The shop is rolled out; `true` for a bad version.
    RollOut(bool),
}

/// A fault at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// Time of the fault, in milliseconds since faults began.
    pub at_ms: u64,
    /// Duration, in milliseconds; ignored by faults that have none.
    pub duration_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// One in this many draws also restores the store from a backup.
const RESTORE_ODDS: u32 = 5;

/// Time without faults at the beginning and at the end, in milliseconds.
pub const CALM_MARGIN_MS: u64 = 2_500;

/// Draws the faults of a seed for a soak of `total_ms` milliseconds, in order of time. Equal
/// arguments give equal faults.
pub fn draw(seed: u64, total_ms: u64, hosts: usize, servers: usize) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + CALM_MARGIN_MS < total_ms {
        let duration_ms = random.random_range(300..2_500);
        let mut add = |fault| events.push(Event { at_ms, duration_ms, fault });
        match random.random_range(0..18) {
            0 => add(Fault::Kill(random.random_range(0..hosts))),
            1 => add(Fault::Freeze(random.random_range(0..hosts))),
            2 => add(Fault::Terminate(random.random_range(0..hosts))),
            3 if random.random_bool(0.3) => add(Fault::KillAll),
            3 => add(Fault::Store(StoreMode::Refusing)),
            4 => add(Fault::Store(StoreMode::Slow)),
            5 => add(Fault::MuteConnections),
            6 => add(Fault::RefuseHost(random.random_range(0..hosts))),
            7 => add(Fault::Server(random.random_range(0..servers), ServerMode::Unresponsive)),
            8 => add(Fault::Server(random.random_range(0..servers), ServerMode::Closing)),
            9 => add(Fault::Server(random.random_range(0..servers), ServerMode::MixingIds)),
            10 => add(Fault::Replace(random.random_range(0..servers))),
            11 => add(Fault::Configure),
            12 | 13 => series::rolling_stops(&mut random, at_ms, hosts, &mut events),
            14 => series::reloads(&mut random, at_ms, hosts, &mut events),
            15 => series::configurations(at_ms, 2 * duration_ms, &mut events),
            _ => series::silence(&mut random, at_ms, &mut events),
        }
        if random.random_range(0..RESTORE_ODDS) == 0 {
            series::restore(&mut random, at_ms, &mut events);
        }
        at_ms += random.random_range(100..1_500);
    }
    series::server_signals(seed, total_ms, servers, &mut events);
    series::roll_outs(seed, total_ms, &mut events);
    series::removals(seed, total_ms, hosts, &mut events);
    series::cuts(seed, total_ms, hosts, &mut events);
    series::connection_bursts(seed, total_ms, hosts, &mut events);
    series::standstills(seed, total_ms, hosts, &mut events);
    series::late_writes(seed, total_ms, &mut events);
    series::endless_answers(seed, total_ms, servers, &mut events);
    series::moving_homes(seed, total_ms, hosts, &mut events);
    events.retain(|event| event.at_ms + CALM_MARGIN_MS < total_ms);
    events.sort_by_key(|event| event.at_ms);
    events
}
