//! The state of a running daemon.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use elmstream::{
    admission::Slot,
    code::Code,
    id::{HostRef, Incarnation, Name},
    node::{Node, NodeSettings},
    serve::Refusal,
    time::SECOND,
};
use elmstream_config::Settings;
use futures_channel::oneshot;

use crate::{
    clock,
    configuration::{Current, Propagation},
    history::History,
    peers::Peers,
    platform::{HostList, HttpPlatform, ObjectStore, TableService},
    pool::Pool,
    tickets::TicketKey,
};

/// Pollers of the head row in each region.
const POLLERS: usize = 2;
/// Priorities that a service may have.
const PRIORITIES: u32 = 10;
/// Hosts that are asked for the configuration at a time.
const PEERS_ASKED: usize = 3;

/// All state of a running daemon. It lives on one thread.
pub struct Daemon {
    /// The settings.
    pub settings: Settings,
    /// The decisions.
    pub node: RefCell<Node>,
    /// The platform's table service.
    pub table: Box<dyn TableService>,
    /// The platform's object store.
    pub objects: Box<dyn ObjectStore>,
    /// The platform's host list.
    pub hosts: Box<dyn HostList>,
    /// The other entry hosts.
    pub peers: Peers,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Requests that wait for a slot.
    pub wakers: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Recent requests.
    pub history: RefCell<History>,
    /// The configuration in force.
    pub current: RefCell<Current>,
    /// How far the last revision that was accepted here has spread.
    pub propagation: RefCell<Propagation>,
    /// Signs tickets.
    pub ticket_key: TicketKey,
    requests: Cell<u64>,
    in_flight: Rc<Cell<u32>>,
    /// Streams of other hosts that are served now.
    streams: Rc<Cell<u32>>,
    wants: Cell<bool>,
    want: RefCell<Option<oneshot::Sender<()>>>,
    knows_domain: Cell<bool>,
}

/// Counts a request or a stream as in flight until it is dropped.
pub struct InFlightGuard(Rc<Cell<u32>>);

impl InFlightGuard {
    fn new(counter: &Rc<Cell<u32>>) -> InFlightGuard {
        counter.set(counter.get() + 1);
        InFlightGuard(counter.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Daemon {
    /// A daemon without configuration.
    pub fn new(
        settings: Settings,
        cluster_key: &str,
        platform: [HttpPlatform; 3],
        peers: Peers,
    ) -> Daemon {
        let incarnation = Incarnation(rand::random());
        let node = Node::new(NodeSettings {
            me: HostRef { host: settings.name.as_str().into(), incarnation },
            domain: settings.failure_domain.as_str().into(),
            seed: rand::random(),
        });
        let [table, objects, hosts] = platform;
        Daemon {
            node: RefCell::new(node),
            table: Box::new(table),
            objects: Box::new(objects),
            hosts: Box::new(hosts),
            peers,
            pool: Pool::default(),
            wakers: RefCell::default(),
            history: RefCell::default(),
            current: RefCell::default(),
            propagation: RefCell::default(),
            ticket_key: TicketKey::new(cluster_key),
            requests: Cell::new(rand::random()),
            in_flight: Rc::default(),
            streams: Rc::default(),
            wants: Cell::new(false),
            want: RefCell::new(None),
            knows_domain: Cell::new(true),
            settings,
        }
    }

    /// Whether the configuration in force, if any, knows this host's domain.
    pub fn knows_domain(&self) -> bool {
        self.knows_domain.get()
    }

    /// Counts a request in, or refuses it by its host's limit.
    pub fn count_request(&self) -> Result<InFlightGuard, Refusal> {
        if self.in_flight.get() >= self.settings.callers.in_flight_max {
            return Err(Refusal { code: Code::NoCapacity, retry_after: SECOND });
        }
        Ok(InFlightGuard::new(&self.in_flight))
    }

    /// Counts a stream of another host in.
    pub fn count_stream(&self) -> InFlightGuard {
        InFlightGuard::new(&self.streams)
    }

    /// Whether no request runs here and no answer is on its way to another host.
    pub fn is_idle(&self) -> bool {
        self.node.borrow().is_idle() && self.streams.get() == 0
    }

    /// Whether a service of this priority still gets in: the last tenth of the
    /// host's limit is for priority 0 only, the last two for 0 and 1, and so on.
    pub fn admits_priority(&self, priority: u8) -> bool {
        let max = self.settings.callers.in_flight_max;
        let share = PRIORITIES.saturating_sub(u32::from(priority)).max(1);
        self.in_flight.get() <= max * share / PRIORITIES
    }

    /// A name for the next request.
    pub fn next_request_id(&self) -> u64 {
        self.requests.set(self.requests.get().wrapping_add(1));
        self.requests.get()
    }

    /// Where a backend server takes requests.
    pub fn backend_address(&self, slot: &Slot) -> Option<SocketAddr> {
        let node = self.node.borrow();
        let catalog = node.catalog();
        catalog.backend(&slot.backend).map(|id| catalog.backends[id.index()].address)
    }

    /// Where an entry host takes other hosts' connections.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.node.borrow().members().get(name).map(|m| m.peers)
    }

    /// Wakes requests that were given a slot.
    pub fn wake(&self, numbers: &[u64]) {
        let mut wakers = self.wakers.borrow_mut();
        for number in numbers {
            if let Some(waker) = wakers.remove(number) {
                let _ = waker.send(());
            }
        }
    }

    /// Hosts besides this one that may be live.
    pub fn live_peers(&self) -> Vec<Name> {
        let now = clock::now();
        let node = self.node.borrow();
        let others = node.members().iter().filter(|m| m.name != node.me().host);
        let live = others.filter(|m| m.may_be_live(now));
        live.map(|m| m.name.clone()).collect()
    }

    /// The highest revision that any host has shown.
    pub fn highest_revision(&self) -> u64 {
        self.node.borrow().members().iter().map(|m| m.revision).max().unwrap_or(0)
    }

    /// Known hosts, those with the highest revision first, a few.
    pub fn newest_peers(&self) -> Vec<Name> {
        let node = self.node.borrow();
        let me = &node.me().host;
        let mut peers: Vec<_> = node.members().iter().filter(|m| m.name != *me).collect();
        peers.sort_by_key(|m| std::cmp::Reverse(m.revision));
        peers.iter().take(PEERS_ASKED).map(|m| m.name.clone()).collect()
    }

    /// Whether this host polls the head row for its region.
    pub fn is_poller(&self) -> bool {
        let now = clock::now();
        let node = self.node.borrow();
        let catalog = node.catalog();
        let region = node.region();
        let same = |domain: &str| catalog.region_of_domain(domain) == region;
        let live = node.members().iter().filter(|m| m.is_live(now) && same(&m.domain));
        region.is_none() || live.take(POLLERS).any(|m| m.name == node.me().host)
    }

    /// Asks the follower of the configuration to look at once.
    pub fn request_poll(&self) {
        self.wants.set(true);
        if let Some(want) = self.want.borrow_mut().take() {
            let _ = want.send(());
        }
    }

    /// Whether a look was asked for; asking is forgotten.
    pub fn take_poll_request(&self) -> bool {
        self.wants.replace(false)
    }

    /// Waits until a look is asked for, at most so long.
    pub async fn wait_for_poll_request(&self, at_most: Duration) {
        let (sender, wanted) = oneshot::channel();
        *self.want.borrow_mut() = Some(sender);
        if !self.wants.get() {
            let _ = compio::time::timeout(at_most, wanted).await;
        }
    }

    /// Notes whether the configuration knows this host's failure domain.
    pub fn check_domain(&self) {
        let known = self.node.borrow().region().is_some();
        self.knows_domain.set(known);
        if !known {
            let code = Code::SettingsDomain;
            log::error!(code = code.number(), failure_domain = self.settings.failure_domain;
                "{}", code.text());
        }
    }
}
