//! Planned work in series, and silences of the store: each is many events, so that
//! those of several series fall between each other.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    faults::{CALM_MARGIN_MS, Event, Fault},
    world::StoreMode,
};

/// Seed of the draw of roll-outs, and time that one takes, in milliseconds.
const ROLL_OUTS: u64 = 0x726f_6c6c;
const ROLL_OUT: u64 = 6_500;

/// Time between two configurations of a series, in milliseconds.
const CONFIGURE_EVERY: u64 = 350;
/// How long a host that stops gets little processor time, in milliseconds: until after
/// the end of its notice.
const STARVED: u64 = 1_000;
/// That begins between this long before it is asked to stop, in milliseconds, and just
/// before the end of its notice: it then stands still at that end at any phase.
const STARVED_BEFORE: u64 = 100;
const STARVED_SHIFT: std::ops::Range<u64> = 0..380;
/// For how long the store is away before it comes back from a copy, how old that is, and
/// when the operator writes again after it, in milliseconds.
const AWAY: std::ops::Range<u64> = 0..2_500;
const AGE: std::ops::Range<u64> = 500..10_000;
const AGAIN: std::ops::Range<u64> = 100..2_500;
/// Length of a silence of the store, in milliseconds: from what a host does not notice
/// to beyond all its time-outs.
const SILENCE: std::ops::Range<u64> = 800..3_000;

/// Time between two servers that say something of themselves, and how long one turns
/// requests away, in milliseconds.
const SAYS: std::ops::Range<u64> = 800..4_000;
const RESTS: std::ops::Range<u64> = 1_000..4_000;

/// Hosts are asked to stop, several at once, until each had its turn.
pub fn rolling_stops(random: &mut StdRng, at: u64, hosts: usize, events: &mut Vec<Event>) {
    let gap = random.random_range(500..1_000);
    let together = random.random_range(1..=1 + hosts / 4);
    let first = random.random_range(0..hosts);
    let starved = random.random_bool(0.5);
    for turn in 0..hosts {
        let host = (first + turn) % hosts;
        let at = at + gap * (turn / together) as u64;
        if starved {
            let at = at - STARVED_BEFORE + random.random_range(STARVED_SHIFT);
            events.push(Event { at_ms: at, duration_ms: STARVED, fault: Fault::Starve(host) });
        }
        events.push(Event { at_ms: at, duration_ms: 0, fault: Fault::Terminate(host) });
    }
}

/// Hosts are told of changed settings, one after the other, some many times in a row.
pub fn reloads(random: &mut StdRng, at: u64, hosts: usize, events: &mut Vec<Event>) {
    let gap = random.random_range(50..250);
    for turn in 0..hosts {
        let at = at + gap * turn as u64;
        let often = random.random_bool(0.3);
        let fault = if often { Fault::ReloadBurst(turn) } else { Fault::Reload(turn) };
        events.push(Event { at_ms: at, duration_ms: 0, fault });
    }
}

/// Configurations for a while.
pub fn configurations(at: u64, lasts: u64, events: &mut Vec<Event>) {
    for n in 0..lasts.div_ceil(CONFIGURE_EVERY) {
        events.push(Event {
            at_ms: at + n * CONFIGURE_EVERY,
            duration_ms: 0,
            fault: Fault::Configure,
        });
    }
}

/// The store comes back from a copy, and configurations come around that.
pub fn restore(random: &mut StdRng, at: u64, events: &mut Vec<Event>) {
    let lasts = random.random_range(AWAY);
    let fault = Fault::Restore(random.random_range(AGE), random.random_range(AGAIN));
    events.push(Event { at_ms: at, duration_ms: lasts, fault });
    // None comes before the hosts have had their first calm seconds.
    for at in [(at - 400).max(CALM_MARGIN_MS), at + lasts + 200, at + lasts + 1_200] {
        let at = at + random.random_range(0..600);
        events.push(Event { at_ms: at, duration_ms: 0, fault: Fault::Configure });
    }
}

/// The store is silent, and a configuration comes shortly before that ends, or after.
pub fn silence(random: &mut StdRng, at: u64, events: &mut Vec<Event>) {
    let lasts = random.random_range(SILENCE);
    events.push(Event { at_ms: at, duration_ms: lasts, fault: Fault::Store(StoreMode::Silent) });
    let at = at + lasts - 300 + random.random_range(0..600);
    events.push(Event { at_ms: at, duration_ms: 0, fault: Fault::Configure });
}

/// Servers say of themselves that they leave, want rest or are in need, each alone and
/// beside all else. These are drawn apart, so that a seed's other faults stay as they are.
pub fn server_signals(seed: u64, millis: u64, servers: usize, events: &mut Vec<Event>) {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut at = CALM_MARGIN_MS + random.random_range(0..SAYS.end);
    while at + CALM_MARGIN_MS < millis {
        let server = random.random_range(0..servers);
        let fault = match random.random_range(0..3) {
            0 => Fault::Leave(server),
            1 => Fault::BackOff(server),
            _ => Fault::NameLimit(server),
        };
        events.push(Event { at_ms: at, duration_ms: random.random_range(RESTS), fault });
        at += random.random_range(SAYS);
    }
}

/// Every second seed has a bad version rolled out beside all else, if there is time for it.
/// It is drawn apart, so that a seed's other faults stay as they are.
pub fn roll_outs(seed: u64, millis: u64, events: &mut Vec<Event>) {
    let mut random = StdRng::seed_from_u64(seed ^ ROLL_OUTS);
    let last = millis.saturating_sub(ROLL_OUT + CALM_MARGIN_MS);
    if last > CALM_MARGIN_MS && random.random_bool(0.5) {
        let at = random.random_range(CALM_MARGIN_MS..last);
        events.push(Event { at_ms: at, duration_ms: 0, fault: Fault::RollOut(true) });
    }
}
