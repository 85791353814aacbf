//! Faults that consist of many events: planned work on several hosts in a row, configuration
//! changes, and outages of the store. Each has many events so that the events of several
//! series interleave.

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    faults::{CALM_MARGIN_MS, Event, Fault},
    homes,
    process::SEED_HOSTS,
    world::StoreMode,
};

/// Seed that separates the draw of roll-outs from other draws, and duration of a roll-out,
/// in milliseconds.
const ROLL_OUT_SEED: u64 = 0x726f_6c6c;
const ROLL_OUT_DURATION_MS: u64 = 6_500;

/// One in this many seeds also removes servers while hosts start, and the seed that separates
/// this draw from other draws.
const REMOVALS_SEED_DIVISOR: u64 = 5;
const REMOVALS_SEED: u64 = 0x676f_6e65;
/// One in this many seeds cuts hosts from the servers, and the value that its generator starts with.
const CUTS_SEED_DIVISOR: u64 = 3;
const CUTS_SEED: u64 = 0x6375_7473;
/// Time between two cuts, and how long they last, in milliseconds.
const CUT_INTERVAL_MS: std::ops::Range<u64> = 4_000..9_000;
const CUT_DURATION_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time between two of these removals, and time for which the host is down, in milliseconds.
const REMOVAL_INTERVAL_MS: std::ops::Range<u64> = 6_000..9_000;
const REMOVAL_DOWN_MS: std::ops::Range<u64> = 20..300;

/// One in this many seeds has bursts of connections, and the value that its generator starts with.
const BURSTS_SEED_DIVISOR: u64 = 4;
const BURSTS_SEED: u64 = 0x6272_7374;
/// Time between two bursts, and how long their connections stay, in milliseconds.
const BURST_INTERVAL_MS: std::ops::Range<u64> = 2_000..6_000;
const BURST_DURATION_MS: std::ops::Range<u64> = 200..3_000;
/// One in this many seeds lets hosts stand still beside servers that leave, and the value that its
/// generator starts with.
const STANDSTILLS_SEED_DIVISOR: u64 = 4;
const STANDSTILLS_SEED: u64 = 0x7374_616e;
/// Time between two standstills, and from the beginning of one until its server has ended, in
/// milliseconds.
const STANDSTILL_INTERVAL_MS: std::ops::Range<u64> = 500..4_000;
const STANDSTILL_DURATION_MS: u64 = 9_000;

/// One in this many seeds has writes of servers that the store completes late, and the value that its
/// generator starts with.
const LATE_WRITES_SEED_DIVISOR: u64 = 3;
const LATE_WRITES_SEED: u64 = 0x6c61_7465;
/// Time between two of these, and from the beginning of one until its server has ended, in
/// milliseconds.
const LATE_WRITE_INTERVAL_MS: std::ops::Range<u64> = 500..4_000;
const LATE_WRITE_DURATION_MS: u64 = 6_000;

/// One in this many seeds has servers that answer without end, the value that its generator starts with,
/// and for how long they do, in milliseconds.
const ENDLESS_SEED_DIVISOR: u64 = 5;
const ENDLESS_SEED: u64 = 0x656e_646c;
const ENDLESS_INTERVAL_MS: std::ops::Range<u64> = 1_000..5_000;
const ENDLESS_DURATION_MS: std::ops::Range<u64> = 300..2_000;

/// One in this many seeds has homes that move, and the value that its generator starts with.
const MOVING_HOMES_SEED_DIVISOR: u64 = 4;
const MOVING_HOMES_SEED: u64 = 0x686f_6d65;
/// Time between two configurations that are applied to move homes, in milliseconds. It exceeds the
/// configuration bound, so that only the newest homes are allowed at times.
const MOVE_INTERVAL_MS: std::ops::Range<u64> = 3_000..6_000;

/// Time between two configurations of a series, in milliseconds.
const CONFIGURATION_INTERVAL_MS: u64 = 350;
/// How long a stopping host gets little processor time, in milliseconds. It lasts beyond the
/// end of the host's stop notice.
const STARVE_DURATION_MS: u64 = 1_000;
/// The lack of processor time begins between this long before the stop signal, in
/// milliseconds, and just before the end of the notice, so that the host may be in any phase
/// of its freezes when the notice ends.
const STARVE_LEAD_MS: u64 = 100;
const STARVE_SHIFT_MS: std::ops::Range<u64> = 0..380;
/// Duration of the outage before a restore, age of the restored backup, and time from the
/// restore until the operator writes again, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 0..2_500;
const BACKUP_AGE_MS: std::ops::Range<u64> = 500..10_000;
const REWRITE_DELAY_MS: std::ops::Range<u64> = 100..2_500;
/// Duration of a silence of the store, in milliseconds: from too short for a host to notice
/// to longer than all its timeouts.
const SILENCE_MS: std::ops::Range<u64> = 800..3_000;

/// Time between two servers that announce something, and time for which one refuses
/// requests, in milliseconds.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 800..4_000;
const BACK_OFF_DURATION_MS: std::ops::Range<u64> = 1_000..4_000;

/// Stops all hosts one after the other in small batches, half of the time with little
/// processor time.
pub fn rolling_stops(random: &mut StdRng, at_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    let gap_ms = random.random_range(500..1_000);
    let batch_size = random.random_range(1..=1 + hosts / 4);
    let first = random.random_range(0..hosts);
    let starved = random.random_bool(0.5);
    for turn in 0..hosts {
        let host = (first + turn) % hosts;
        let at_ms = at_ms + gap_ms * (turn / batch_size) as u64;
        if starved {
            let at_ms = at_ms - STARVE_LEAD_MS + random.random_range(STARVE_SHIFT_MS);
            events.push(Event {
                at_ms,
                duration_ms: STARVE_DURATION_MS,
                fault: Fault::Starve(host),
            });
        }
        events.push(Event { at_ms, duration_ms: 0, fault: Fault::Terminate(host) });
    }
}

/// Signals all hosts to reload their settings, one after the other, some of them many times
/// in a row.
pub fn reloads(random: &mut StdRng, at_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    let gap_ms = random.random_range(50..250);
    for turn in 0..hosts {
        let at_ms = at_ms + gap_ms * turn as u64;
        let burst = random.random_bool(0.3);
        let fault = if burst { Fault::ReloadBurst(turn) } else { Fault::Reload(turn) };
        events.push(Event { at_ms, duration_ms: 0, fault });
    }
}

/// Applies configurations at a constant interval for a while.
pub fn configurations(at_ms: u64, duration_ms: u64, events: &mut Vec<Event>) {
    for n in 0..duration_ms.div_ceil(CONFIGURATION_INTERVAL_MS) {
        events.push(Event {
            at_ms: at_ms + n * CONFIGURATION_INTERVAL_MS,
            duration_ms: 0,
            fault: Fault::Configure,
        });
    }
}

/// Restores the store from a backup and applies configurations around that time.
pub fn restore(random: &mut StdRng, at_ms: u64, events: &mut Vec<Event>) {
    let duration_ms = random.random_range(OUTAGE_MS);
    let fault =
        Fault::Restore(random.random_range(BACKUP_AGE_MS), random.random_range(REWRITE_DELAY_MS));
    events.push(Event { at_ms, duration_ms, fault });
    // Hosts have some time without faults at the beginning; no configuration may come before it
    // ends.
    for at_ms in
        [(at_ms - 400).max(CALM_MARGIN_MS), at_ms + duration_ms + 200, at_ms + duration_ms + 1_200]
    {
        let at_ms = at_ms + random.random_range(0..600);
        events.push(Event { at_ms, duration_ms: 0, fault: Fault::Configure });
    }
}

/// Silences the store and applies a configuration shortly before or after the silence ends.
pub fn silence(random: &mut StdRng, at_ms: u64, events: &mut Vec<Event>) {
    let duration_ms = random.random_range(SILENCE_MS);
    events.push(Event { at_ms, duration_ms, fault: Fault::Store(StoreMode::Silent) });
    let at_ms = at_ms + duration_ms - 300 + random.random_range(0..600);
    events.push(Event { at_ms, duration_ms: 0, fault: Fault::Configure });
}

/// Lets servers leave, ask for back-off or announce a limit in their answers only, in
/// addition to the other faults. They are drawn from a generator of their own, so that a
/// seed's other faults do not depend on them.
pub fn server_signals(seed: u64, total_ms: u64, servers: usize, events: &mut Vec<Event>) {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut at_ms = CALM_MARGIN_MS + random.random_range(0..SIGNAL_INTERVAL_MS.end);
    while at_ms + CALM_MARGIN_MS < total_ms {
        let server = random.random_range(0..servers);
        let fault = match random.random_range(0..3) {
            0 => Fault::Leave(server),
            1 => Fault::BackOff(server),
            _ => Fault::NameLimit(server),
        };
        events.push(Event { at_ms, duration_ms: random.random_range(BACK_OFF_DURATION_MS), fault });
        at_ms += random.random_range(SIGNAL_INTERVAL_MS);
    }
}

/// Removes servers while seed hosts start, at every fifth seed: the killed hosts keep other faults
/// from being judged. They are drawn from a generator of their own, so that a seed's other faults
/// do not depend on them.
pub fn removals(seed: u64, total_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    if !seed.is_multiple_of(REMOVALS_SEED_DIVISOR) {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ REMOVALS_SEED);
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + CALM_MARGIN_MS < total_ms {
        let host = random.random_range(0..hosts.min(SEED_HOSTS));
        let duration_ms = random.random_range(REMOVAL_DOWN_MS);
        events.push(Event { at_ms, duration_ms, fault: Fault::RemoveServerAtStart(host) });
        at_ms += random.random_range(REMOVAL_INTERVAL_MS);
    }
}

/// Cuts hosts from all backend servers, some at once, at every third seed. They are drawn from a
/// generator of their own, so that a seed's other faults do not depend on them.
pub fn cuts(seed: u64, total_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    if !seed.is_multiple_of(CUTS_SEED_DIVISOR) {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ CUTS_SEED);
    let mut at_ms = CALM_MARGIN_MS + random.random_range(0..CUT_INTERVAL_MS.start);
    while at_ms + CALM_MARGIN_MS < total_ms {
        let duration_ms = random.random_range(CUT_DURATION_MS);
        let first = random.random_range(0..hosts);
        for n in 0..random.random_range(1..=hosts.div_ceil(2)) {
            let fault = Fault::CutFromServers((first + n) % hosts);
            events.push(Event { at_ms, duration_ms, fault });
        }
        at_ms += random.random_range(CUT_INTERVAL_MS);
    }
}

/// Lets thousands of connections come to a host at once, at every fourth seed. They are drawn from a
/// generator of their own, so that a seed's other faults do not depend on them.
pub fn connection_bursts(seed: u64, total_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    if seed % BURSTS_SEED_DIVISOR != 1 {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ BURSTS_SEED);
    let mut at_ms = CALM_MARGIN_MS + random.random_range(0..BURST_INTERVAL_MS.start);
    while at_ms + CALM_MARGIN_MS < total_ms {
        let duration_ms = random.random_range(BURST_DURATION_MS);
        let fault = Fault::ConnectionBurst(random.random_range(0..hosts));
        events.push(Event { at_ms, duration_ms, fault });
        at_ms += random.random_range(BURST_INTERVAL_MS);
    }
}

/// Lets hosts stand still beside servers that leave without notice, at every fourth seed, some at the
/// same time. They are drawn from a generator of their own, so that a seed's other faults do not
/// depend on them.
pub fn standstills(seed: u64, total_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    if seed % STANDSTILLS_SEED_DIVISOR != 2 {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ STANDSTILLS_SEED);
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + STANDSTILL_DURATION_MS < total_ms {
        let host = random.random_range(0..hosts);
        let fault = Fault::RemoveServerAfterStandstill(host);
        events.push(Event { at_ms, duration_ms: 0, fault });
        at_ms += random.random_range(STANDSTILL_INTERVAL_MS);
    }
}

/// Lets the store complete writes of servers late, at every third seed, some at the same time. They are
/// drawn from a generator of their own, so that a seed's other faults do not depend on them.
pub fn late_writes(seed: u64, total_ms: u64, events: &mut Vec<Event>) {
    if seed % LATE_WRITES_SEED_DIVISOR != 1 {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ LATE_WRITES_SEED);
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + LATE_WRITE_DURATION_MS < total_ms {
        events.push(Event { at_ms, duration_ms: 0, fault: Fault::CompleteLate });
        at_ms += random.random_range(LATE_WRITE_INTERVAL_MS);
    }
}

/// Lets servers answer without end, at every fifth seed. They are drawn from a generator of their own, so
/// that a seed's other faults do not depend on them.
pub fn endless_answers(seed: u64, total_ms: u64, servers: usize, events: &mut Vec<Event>) {
    if seed % ENDLESS_SEED_DIVISOR != 2 {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ ENDLESS_SEED);
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + CALM_MARGIN_MS < total_ms {
        let duration_ms = random.random_range(ENDLESS_DURATION_MS);
        let fault = Fault::AnswerWithoutEnd(random.random_range(0..servers));
        events.push(Event { at_ms, duration_ms, fault });
        at_ms += random.random_range(ENDLESS_INTERVAL_MS);
    }
}

/// Moves homes with all configurations, at every fourth seed, and applies more of these, half of them
/// beside a cut host that stands still if there is time for it. They are drawn from a generator of
/// their own, so that a seed's other faults do not depend on them.
pub fn moving_homes(seed: u64, total_ms: u64, hosts: usize, events: &mut Vec<Event>) {
    if seed % MOVING_HOMES_SEED_DIVISOR != 3 {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed ^ MOVING_HOMES_SEED);
    let mut at_ms = CALM_MARGIN_MS;
    while at_ms + CALM_MARGIN_MS < total_ms {
        let host = random.random_range(0..hosts);
        let beside_cut = random.random_bool(0.5) && at_ms + homes::CUT_DURATION_MS < total_ms;
        let fault = if beside_cut { Fault::MoveHomesBesideCut(host) } else { Fault::MoveHomes };
        events.push(Event { at_ms, duration_ms: 0, fault });
        at_ms += random.random_range(MOVE_INTERVAL_MS);
    }
}

/// Rolls out a bad version at every second seed, in addition to the other faults and if
/// there is time for it. It is drawn from a generator of its own, so that a seed's other
/// faults do not depend on it.
pub fn roll_outs(seed: u64, total_ms: u64, events: &mut Vec<Event>) {
    let mut random = StdRng::seed_from_u64(seed ^ ROLL_OUT_SEED);
    let last = total_ms.saturating_sub(ROLL_OUT_DURATION_MS + CALM_MARGIN_MS);
    if last > CALM_MARGIN_MS && random.random_bool(0.5) {
        let at_ms = random.random_range(CALM_MARGIN_MS..last);
        events.push(Event { at_ms, duration_ms: 0, fault: Fault::RollOut(true) });
    }
}
