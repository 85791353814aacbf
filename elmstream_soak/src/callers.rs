//! Callers of a soak: they keep connections open, and use them until they end.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use elmstream::code::Code;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    ledger::{KeyAcceptance, LostRequest, Outcome, VersionObservation},
    process::Process,
    wire::{Answer, Connection, ExchangeOutcome},
    workspaces::{self, KEY_LIFETIME_VERSIONS, NAMES},
    world::{PIN_SERVICES, World},
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
pub struct RequestParams {
    /// Keeps requests together.
    pub key: u32,
    /// Its workspace.
    pub workspace: &'static str,
    /// The version that brought its workspace's key.
    pub key_version: u64,
}

impl RequestParams {
    /// A request of the first workspace with its newest key.
    pub fn with_newest_key(world: &World) -> RequestParams {
        let version = world.ledger.borrow().newest_version();
        RequestParams { key: 0, workspace: NAMES[0], key_version: version }
    }
}

/// A connection to one start of a host.
#[derive(Debug)]
pub struct HostConnection {
    connection: Connection,
    host: usize,
    start: u64,
}

impl HostConnection {
    /// Opens one; none if the host does not take it.
    pub async fn open(world: &World, hosts: &Hosts, host: usize) -> Option<HostConnection> {
        let at = |hosts: &Hosts| {
            (hosts.borrow()[host].caller_address(), hosts.borrow()[host].start_number)
        };
        let (address, start) = at(hosts);
        let connection = Connection::open(address, CONNECT).await.ok();
        // Which start took it is not known if the host was started again meanwhile.
        let connection = connection.filter(|_| at(hosts).1 == start);
        if connection.is_none() {
            world.ledger.borrow_mut().count("no connection");
        }
        connection.map(|connection| HostConnection { connection, host, start })
    }

    /// Sends one request; the connection if it may be used again.
    pub async fn request(
        mut self,
        world: &World,
        hosts: &Hosts,
        kind: &str,
        id: &str,
        shows: RequestParams,
    ) -> Option<HostConnection> {
        let RequestParams { key, workspace, key_version: version } = shows;
        let shown = workspaces::key(workspace, version);
        // Whatever a caller says of its workspace must not count.
        let text = format!(
            "GET /{kind}/{workspace}/{key} HTTP/1.1\r\nhost: soak.example\r\n\
             elmstream-request: {id}\r\nelmstream-affinity: {key}\r\n\
             elmstream-deadline: 1000\r\nauthorization: Bearer {shown}\r\n\
             elmstream-workspace: other\r\n\r\n"
        );
        let asked = world.now();
        let kept = self.connection.answered_count > 0;
        match self.connection.exchange(world, text, ANSWER).await {
            ExchangeOutcome::Answer(answer) => {
                world.ledger.borrow_mut().count(if kept { "on kept" } else { "on new" });
                self.answered(world, hosts, id, (asked, version), &answer);
                return (!answer.close).then_some(self);
            }
            ExchangeOutcome::Malformed(text) => {
                world.ledger.borrow_mut().add_violation(format!("{id}: {text}"))
            }
            ExchangeOutcome::NotSent => {
                world.ledger.borrow_mut().record_outcome(id, Outcome::Unknown)
            }
            ExchangeOutcome::Closed(sent, ended) => self.cut(world, hosts, id, sent, ended, kept),
            ExchangeOutcome::TimedOut(sent) => self.cut(world, hosts, id, sent, world.now(), kept),
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
            ledger.record_poison_refusal(id);
        }
        match answer.status {
            200 => {}
            401 => {
                ledger.count("denied");
                return ledger.record_outcome(id, Outcome::Refused);
            }
            429 | 503 => return ledger.record_outcome(id, Outcome::Refused),
            _ => return ledger.record_outcome(id, Outcome::Unknown),
        }
        let (told, server) = answer.body.split_once(' ').unwrap_or((&answer.body, ""));
        if told != id {
            ledger.add_violation(format!("{id} got the answer of {told}"));
        }
        ledger.record_outcome(id, Outcome::Success);
        let now = world.now();
        let calm = now > hosts.borrow()[self.host].disturbed_ms + CALM_MS;
        let host = (self.host, self.start);
        // Whoever takes a key goes by a version that holds it.
        let taken = KeyAcceptance {
            host,
            last_valid_version: version + KEY_LIFETIME_VERSIONS - 1,
            sent_ms: asked,
            undisturbed: calm,
        };
        ledger.check_key_acceptance(&taken, &world.outages.borrow());
        let pin = server.strip_prefix("pin-").and_then(|pin| pin.parse::<u64>().ok());
        let Some(pin) = pin else { return };
        let pin = if world.breaks("back") { pin + PIN_SERVICES - 1 } else { pin };
        let served = VersionObservation {
            host,
            pin,
            pin_count: PIN_SERVICES,
            sent_ms: asked,
            received_ms: now,
            undisturbed: calm,
        };
        ledger.check_served_version(&served, &world.outages.borrow());
    }

    /// A request was sent whole, and no answer came.
    fn cut(&self, world: &World, hosts: &Hosts, id: &str, sent: u64, ended: u64, kept: bool) {
        let hosts = hosts.borrow();
        let host = &hosts[self.host];
        let mut ledger = world.ledger.borrow_mut();
        ledger.record_outcome(id, Outcome::Unknown);
        if host.unplanned_ms.is_some_and(|at| at + CALM_MS >= sent) {
            return;
        }
        let since = |at: Option<u64>| at.map(|at| ended.saturating_sub(at));
        let (stop, reload) = (since(host.stop_requested_ms), since(host.reloaded_ms));
        let of = if host.start_number == self.start { "this" } else { "an earlier" };
        ledger.record_lost_request(LostRequest {
            id: id.to_owned(),
            ended_after_ms: ended.saturating_sub(sent),
            stall_ms: world.stall_ms_since(sent),
            context: format!(
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
    let mut lines: BTreeMap<usize, HostConnection> = BTreeMap::new();
    let mut count = 0u64;
    while world.now() < until {
        count += 1;
        let kind = ["safe", "once", "pin"][random.random_range(0..3)];
        let id = format!("{kind}-{number}-{count}");
        let host = random.random_range(0..hosts.borrow().len());
        let newest = world.ledger.borrow().newest_version();
        let shows = RequestParams {
            key: random.random_range(0..KEYS),
            workspace: NAMES[random.random_range(0..NAMES.len())],
            key_version: newest.saturating_sub(random.random_range(0..OLD_KEYS)),
        };
        let kept = if random.random_bool(NEW_PART) { None } else { lines.remove(&host) };
        let line = match kept {
            Some(line) => Some(line),
            None => HostConnection::open(&world, &hosts, host).await,
        };
        if let Some(line) = line
            && let Some(line) = line.request(&world, &hosts, kind, &id, shows).await
        {
            lines.insert(host, line);
        }
        compio::time::sleep(PAUSE).await;
    }
}
