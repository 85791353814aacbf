//! Callers of a soak: they keep connections open, and use them until they end.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use elmstream::code::Code;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    ledger::{Cut, Seen, Served, Taken},
    process::Process,
    wire::{Answer, Connection, End},
    workspaces::{self, HELD, NAMES},
    world::{PINS, World},
};

/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(12);
/// Time in which a connection must come up.
const CONNECT: Duration = Duration::from_millis(300);
/// Time in which an answer must come; the routes' time is 600 ms.
const ANSWER: Duration = Duration::from_millis(1_500);
/// A host counts as calm after this long without a fault, in milliseconds.
const CALM_MS: u64 = 4_000;
/// Part of the requests that open a connection of their own though one is kept.
const NEW_PART: f64 = 0.2;
/// Keys that keep a caller's requests together.
const KEYS: u32 = 40;
/// Versions whose keys callers still show; some of them have been taken away.
const OLD_KEYS: u64 = 4;

/// The hosts that callers use.
pub type Hosts = Rc<RefCell<Vec<Process>>>;

/// What a request shows of itself.
#[derive(Clone, Copy, Debug)]
pub struct Shows {
    /// Keeps requests together.
    pub key: u32,
    /// Its workspace.
    pub workspace: &'static str,
    /// The version that brought its workspace's key.
    pub version: u64,
}

impl Shows {
    /// A request of the first workspace with its newest key.
    pub fn newest(world: &World) -> Shows {
        let version = world.ledger.borrow().newest();
        Shows { key: 0, workspace: NAMES[0], version }
    }
}

/// A connection to one start of a host.
#[derive(Debug)]
pub struct Line {
    connection: Connection,
    host: usize,
    start: u64,
}

impl Line {
    /// Opens one; none if the host does not take it.
    pub async fn open(world: &World, hosts: &Hosts, host: usize) -> Option<Line> {
        let at = |hosts: &Hosts| (hosts.borrow()[host].callers(), hosts.borrow()[host].start);
        let (address, start) = at(hosts);
        let connection = Connection::open(address, CONNECT).await.ok();
        // Which start took it is not known if the host was started again meanwhile.
        let connection = connection.filter(|_| at(hosts).1 == start);
        if connection.is_none() {
            world.ledger.borrow_mut().count("no connection");
        }
        connection.map(|connection| Line { connection, host, start })
    }

    /// Sends one request; the connection if it may be used again.
    pub async fn request(
        mut self,
        world: &World,
        hosts: &Hosts,
        kind: &str,
        id: &str,
        shows: Shows,
    ) -> Option<Line> {
        let Shows { key, workspace, version } = shows;
        let shown = workspaces::key(workspace, version);
        // Whatever a caller says of its workspace must not count.
        let text = format!(
            "GET /{kind}/{workspace}/{key} HTTP/1.1\r\nhost: soak.example\r\n\
             elmstream-request: {id}\r\nelmstream-affinity: {key}\r\n\
             elmstream-deadline: 1000\r\nauthorization: Bearer {shown}\r\n\
             elmstream-workspace: other\r\n\r\n"
        );
        let asked = world.now();
        let kept = self.connection.answered > 0;
        match self.connection.exchange(world, text, ANSWER).await {
            End::Answer(answer) => {
                world.ledger.borrow_mut().count(if kept { "on kept" } else { "on new" });
                self.answered(world, hosts, id, (asked, version), &answer);
                return (!answer.close).then_some(self);
            }
            End::Garbled(text) => world.ledger.borrow_mut().violate(format!("{id}: {text}")),
            End::NotSent => world.ledger.borrow_mut().answered(id, Seen::Unknown),
            End::Ended(sent, ended) => self.cut(world, hosts, id, sent, ended, kept),
            End::Silent(sent) => self.cut(world, hosts, id, sent, world.now(), kept),
        }
        None
    }

    fn answered(
        &self,
        world: &World,
        hosts: &Hosts,
        id: &str,
        (asked, version): (u64, u64),
        answer: &Answer,
    ) {
        if world.breaks("lost") && id.ends_with('7') {
            self.cut(world, hosts, id, asked, asked + ANSWER.as_millis() as u64, true);
            return;
        }
        let mut ledger = world.ledger.borrow_mut();
        if answer.code == Code::Harmful.number() {
            ledger.harm_refused(id);
        }
        match answer.status {
            200 => {}
            401 => {
                ledger.count("denied");
                return ledger.answered(id, Seen::Refused);
            }
            429 | 503 => return ledger.answered(id, Seen::Refused),
            _ => return ledger.answered(id, Seen::Unknown),
        }
        let (told, server) = answer.body.split_once(' ').unwrap_or((&answer.body, ""));
        if told != id {
            ledger.violate(format!("{id} got the answer of {told}"));
        }
        ledger.answered(id, Seen::Success);
        let now = world.now();
        let calm = now > hosts.borrow()[self.host].disturbed + CALM_MS;
        let host = (self.host, self.start);
        // Whoever takes a key goes by a version that holds it.
        let taken = Taken { host, held_until: version + HELD - 1, sent: asked, calm };
        ledger.key_taken(&taken, &world.troubles.borrow());
        let pin = server.strip_prefix("pin-").and_then(|pin| pin.parse::<u64>().ok());
        let Some(pin) = pin else { return };
        let pin = if world.breaks("back") { pin + PINS - 1 } else { pin };
        let served = Served { host, pin, pins: PINS, sent: asked, now, calm };
        ledger.served_by(&served, &world.troubles.borrow());
    }

    /// A request was sent whole, and no answer came.
    fn cut(&self, world: &World, hosts: &Hosts, id: &str, sent: u64, ended: u64, kept: bool) {
        let hosts = hosts.borrow();
        let host = &hosts[self.host];
        let mut ledger = world.ledger.borrow_mut();
        ledger.answered(id, Seen::Unknown);
        if host.unplanned.is_some_and(|at| at + CALM_MS >= sent) {
            return;
        }
        let since = |at: Option<u64>| at.map(|at| ended.saturating_sub(at));
        let (stop, reload) = (since(host.terminated), since(host.reloaded));
        let of = if host.start == self.start { "this" } else { "an earlier" };
        ledger.cut(Cut {
            id: id.to_owned(),
            after: ended.saturating_sub(sent),
            late: world.late_since(sent),
            how: format!(
                "on a {} connection to {of} start of host {}, at {ended} ms; \
                 {stop:?} ms after its stop was asked, {reload:?} ms after its reload",
                if kept { "kept" } else { "new" },
                self.host,
            ),
        });
    }
}

/// Sends requests until the time is over.
pub async fn run(world: Rc<World>, hosts: Hosts, number: u64, until: u64) {
    let mut random = StdRng::seed_from_u64(number);
    let mut lines: BTreeMap<usize, Line> = BTreeMap::new();
    let mut count = 0u64;
    while world.now() < until {
        count += 1;
        let kind = ["safe", "once", "pin"][random.random_range(0..3)];
        let id = format!("{kind}-{number}-{count}");
        let host = random.random_range(0..hosts.borrow().len());
        let newest = world.ledger.borrow().newest();
        let shows = Shows {
            key: random.random_range(0..KEYS),
            workspace: NAMES[random.random_range(0..NAMES.len())],
            version: newest.saturating_sub(random.random_range(0..OLD_KEYS)),
        };
        let kept = if random.random_bool(NEW_PART) { None } else { lines.remove(&host) };
        let line = match kept {
            Some(line) => Some(line),
            None => Line::open(&world, &hosts, host).await,
        };
        if let Some(line) = line
            && let Some(line) = line.request(&world, &hosts, kind, &id, shows).await
        {
            lines.insert(host, line);
        }
        compio::time::sleep(PAUSE).await;
    }
}
