//! Events of random histories, and how they are applied to a world.

use elmstream::time::{MILLI, SECOND};
use quickcheck::{Arbitrary, Gen};

use super::{World, catalog_of};

/// Hosts are drawn as numbers below this. The numbers of hosts in the worlds
/// divide it, so that each host is equally likely.
const HOST_NUMBERS: usize = 840;

/// Event of a history, followed by some time.
///
/// Hosts and servers are drawn as numbers, which are reduced modulo their count
/// in the world.
#[derive(Clone, Debug)]
pub enum Event {
    /// Nothing happens for this time in microseconds.
    Pass(u64),
    /// A host is paused for a time in microseconds.
    Pause(usize, u64),
    /// A host is killed and starts again.
    Restart(usize),
    /// Two hosts cannot reach each other for a time in microseconds.
    Cut(usize, usize, u64),
    /// The table service is down for a time in microseconds.
    TableDown(u64),
    /// Answers of the table service are delayed by a time in microseconds from
    /// now on.
    TableSlow(u64),
    /// The answers of this many writes are lost after the writes took effect.
    LoseAnswers(u32),
    /// The host list is not updated for a time in microseconds.
    FreezeList(u64),
    /// A host begins a planned stop.
    Stop(usize),
    /// A backend server is removed from the configuration.
    Remove(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let host = usize::arbitrary(g) % HOST_NUMBERS;
        let other = usize::arbitrary(g) % HOST_NUMBERS;
        let millis = u64::arbitrary(g) % 6_000 * MILLI;
        match u8::arbitrary(g) % 12 {
            0 | 1 => Event::Pause(host, millis),
            2 | 3 => Event::Restart(host),
            4 => Event::Cut(host, other, millis),
            5 => Event::TableDown(millis),
            6 => Event::TableSlow(millis / 5),
            7 => Event::LoseAnswers(1 + millis as u32 % 3),
            8 => Event::FreezeList(millis),
            9 => Event::Stop(host),
            10 => Event::Remove(host),
            _ => Event::Pass(millis),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Event>> {
        match self {
            Event::Pass(_) => quickcheck::empty_shrinker(),
            _ => quickcheck::single_shrinker(Event::Pass(100 * MILLI)),
        }
    }
}

fn apply_event(world: &mut World, event: &Event, revision: &mut u64) {
    let count = world.hosts.len();
    match *event {
        Event::Pass(_) => {}
        Event::Pause(host, micros) => world.pause(host % count, micros),
        Event::Restart(host) => world.restart(host % count),
        Event::Cut(a, b, micros) => world.cut(a % count, (a + 1 + b % (count - 1)) % count, micros),
        Event::TableDown(micros) => world.fail_table(micros),
        Event::TableSlow(micros) => world.slow_table(micros),
        Event::LoseAnswers(count) => world.lose_answers(count),
        Event::FreezeList(micros) => world.freeze_list(micros),
        Event::Stop(host) => world.stop(host % count),
        Event::Remove(number) => {
            *revision += 1;
            let removed = ["na-0", "na-1", "nb-2", "sa-0", "sa-1", "none"][number % 6];
            let catalog = catalog_of(*revision, world.backends_per_domain(), &[removed]);
            world.configure(catalog);
        }
    }
}

/// Plays a history; returns an error if an invariant is violated.
pub fn play_history(mut world: World, events: &[Event]) -> Result<(), String> {
    let mut revision = 1;
    world.run(3 * SECOND)?;
    for event in events {
        apply_event(&mut world, event, &mut revision);
        let micros = match event {
            Event::Pass(micros) => *micros,
            _ => 300 * MILLI,
        };
        world.run(micros)?;
    }
    world.run(2 * SECOND)
}
