//! Random histories: what may happen to a world, and how it is played.

use elmstream::time::{MILLI, SECOND};
use quickcheck::{Arbitrary, Gen};

use super::{World, catalog_of};

/// Numbers that hosts are drawn as; the worlds' sizes divide it.
const DRAWN: usize = 840;

/// Something that happens, and the time that passes after it.
///
/// Hosts and servers are drawn as numbers; the world takes them modulo what it
/// has.
#[derive(Clone, Debug)]
pub enum Event {
    /// Only time passes, in microseconds.
    Pass(u64),
    /// A host is paused.
    Pause(usize, u64),
    /// A host is killed and starts again.
    Restart(usize),
    /// Two hosts are cut from each other.
    Cut(usize, usize, u64),
    /// The table service is down.
    TableDown(u64),
    /// The table service is slow.
    TableSlow(u64),
    /// Answers of the table are lost after the write took effect.
    LoseAnswers(u32),
    /// The host list is frozen.
    FreezeList(u64),
    /// A planned stop of a host begins.
    Stop(usize),
    /// A backend server is removed from the configuration.
    Remove(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let host = usize::arbitrary(g) % DRAWN;
        let other = usize::arbitrary(g) % DRAWN;
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

fn happen(world: &mut World, event: &Event, revision: &mut u64) {
    let count = world.hosts.len();
    match *event {
        Event::Pass(_) => {}
        Event::Pause(host, micros) => world.pause(host % count, micros),
        Event::Restart(host) => world.restart(host % count),
        Event::Cut(a, b, micros) => world.cut(a % count, (a + 1 + b % (count - 1)) % count, micros),
        Event::TableDown(micros) => world.table_down(micros),
        Event::TableSlow(micros) => world.table_slow(micros),
        Event::LoseAnswers(count) => world.lose_answers(count),
        Event::FreezeList(micros) => world.freeze_list(micros),
        Event::Stop(host) => world.stop(host % count),
        Event::Remove(number) => {
            *revision += 1;
            let removed = ["na-0", "na-1", "nb-2", "sa-0", "sa-1", "none"][number % 6];
            let catalog = catalog_of(*revision, world.backends_each(), &[removed]);
            world.configure(catalog);
        }
    }
}

/// Plays a history; an error if an invariant fails on the way.
pub fn history_is_safe(mut world: World, events: &[Event]) -> Result<(), String> {
    let mut revision = 1;
    world.run(3 * SECOND)?;
    for event in events {
        happen(&mut world, event, &mut revision);
        let micros = match event {
            Event::Pass(micros) => *micros,
            _ => 300 * MILLI,
        };
        world.run(micros)?;
    }
    world.run(2 * SECOND)
}
