//! State of a running daemon, shared by its tasks.

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
    request_handling::Refusal,
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

/// Live hosts in each region that poll the head row of the configuration.
const POLLERS_PER_REGION: usize = 2;
/// Number of priorities that a service may have.
const PRIORITIES: u32 = 10;
/// Most hosts from which the configuration is fetched at a time.
const FETCH_PEERS_MAX: usize = 3;

/// All state of a running daemon. It lives on one thread.
pub struct Daemon {
    /// Settings of this host.
    pub settings: Settings,
    /// State machine that decides ownership, admission and routing.
    pub node: RefCell<Node>,
    /// Client of the platform's table service.
    pub table: Box<dyn TableService>,
    /// Client of the platform's object store.
    pub objects: Box<dyn ObjectStore>,
    /// Client of the platform's host list.
    pub hosts: Box<dyn HostList>,
    /// Connections to the other entry hosts.
    pub peers: Peers,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Wakers of requests that wait for a slot, by their number in the queue.
    pub wakers: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Traces of recent requests.
    pub history: RefCell<History>,
    /// Configuration in force on this host.
    pub current: RefCell<Current>,
    /// Hosts that have confirmed the last revision that was accepted here.
    pub propagation: RefCell<Propagation>,
    /// Key that signs and verifies tickets.
    pub ticket_key: TicketKey,
    last_request_id: Cell<u64>,
    in_flight: Rc<Cell<u32>>,
    /// Streams of other hosts that are being served.
    peer_streams: Rc<Cell<u32>>,
    poll_requested: Cell<bool>,
    poll_waker: RefCell<Option<oneshot::Sender<()>>>,
    is_domain_configured: Cell<bool>,
}

/// Counts a request or a stream as in flight until this is dropped.
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
    /// Creates a daemon without configuration. `platform` has one client each for the table
    /// service, the object store and the host list.
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
            last_request_id: Cell::new(rand::random()),
            in_flight: Rc::default(),
            peer_streams: Rc::default(),
            poll_requested: Cell::new(false),
            poll_waker: RefCell::new(None),
            is_domain_configured: Cell::new(true),
            settings,
        }
    }

    /// Whether the configuration in force has this host's failure domain; true if none is in force.
    pub fn is_domain_configured(&self) -> bool {
        self.is_domain_configured.get()
    }

    /// Counts a request as in flight, or refuses it if the host is at its limit.
    pub fn count_request(&self) -> Result<InFlightGuard, Refusal> {
        if self.in_flight.get() >= self.settings.callers.in_flight_max {
            return Err(Refusal { code: Code::NoCapacity, retry_after: SECOND });
        }
        Ok(InFlightGuard::new(&self.in_flight))
    }

    /// Counts a stream of another host as being served.
    pub fn count_stream(&self) -> InFlightGuard {
        InFlightGuard::new(&self.peer_streams)
    }

    /// Whether no request is running here and no answer is being sent to another host.
    pub fn is_idle(&self) -> bool {
        self.node.borrow().is_idle() && self.peer_streams.get() == 0
    }

    /// Whether a request of this priority is admitted at the host's current load: the last tenth of
    /// its limit is reserved for priority 0, the last two tenths for 0 and 1, and so on.
    pub fn admits_priority(&self, priority: u8) -> bool {
        let max = self.settings.callers.in_flight_max;
        let share = PRIORITIES.saturating_sub(u32::from(priority)).max(1);
        self.in_flight.get() <= max * share / PRIORITIES
    }

    /// Id for the next request, counted up from a random number.
    pub fn next_request_id(&self) -> u64 {
        self.last_request_id.set(self.last_request_id.get().wrapping_add(1));
        self.last_request_id.get()
    }

    /// Address at which a slot's backend server takes requests; `None` if it is not configured.
    pub fn backend_address(&self, slot: &Slot) -> Option<SocketAddr> {
        let node = self.node.borrow();
        let catalog = node.catalog();
        catalog.backend(&slot.backend).map(|id| catalog.backends[id.index()].address)
    }

    /// Address at which an entry host takes connections of other hosts; `None` if it is unknown.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.node.borrow().members().get(name).map(|m| m.peers)
    }

    /// Wakes the waiting requests with these queue numbers.
    pub fn wake(&self, numbers: &[u64]) {
        let mut wakers = self.wakers.borrow_mut();
        for number in numbers {
            if let Some(waker) = wakers.remove(number) {
                let _ = waker.send(());
            }
        }
    }

    /// Other entry hosts that may be live.
    pub fn live_peers(&self) -> Vec<Name> {
        let now = clock::now();
        let node = self.node.borrow();
        let others = node.members().iter().filter(|m| m.name != node.me().host);
        let live = others.filter(|m| m.may_be_live(now));
        live.map(|m| m.name.clone()).collect()
    }

    /// Highest configuration revision that any host has reported; 0 if none has.
    pub fn highest_revision(&self) -> u64 {
        self.node.borrow().members().iter().map(|m| m.revision).max().unwrap_or(0)
    }

    /// A few other hosts from which to fetch the configuration, highest reported revision first.
    pub fn newest_peers(&self) -> Vec<Name> {
        let node = self.node.borrow();
        let me = &node.me().host;
        let mut peers: Vec<_> = node.members().iter().filter(|m| m.name != *me).collect();
        peers.sort_by_key(|m| std::cmp::Reverse(m.revision));
        peers.iter().take(FETCH_PEERS_MAX).map(|m| m.name.clone()).collect()
    }

    /// Whether this host is one of its region's pollers of the head row. A host that does not know
    /// its region yet polls, too.
    pub fn is_poller(&self) -> bool {
        let now = clock::now();
        let node = self.node.borrow();
        let catalog = node.catalog();
        let region = node.region();
        let is_same_region = |domain: &str| catalog.region_of_domain(domain) == region;
        let live = node.members().iter().filter(|m| m.is_live(now) && is_same_region(&m.domain));
        region.is_none() || live.take(POLLERS_PER_REGION).any(|m| m.name == node.me().host)
    }

    /// Requests a poll of the head row without delay.
    pub fn request_poll(&self) {
        self.poll_requested.set(true);
        if let Some(poll_waker) = self.poll_waker.borrow_mut().take() {
            let _ = poll_waker.send(());
        }
    }

    /// Returns whether a poll was requested, and clears the request.
    pub fn take_poll_request(&self) -> bool {
        self.poll_requested.replace(false)
    }

    /// Waits until a poll is requested, for at most `timeout`.
    pub async fn wait_for_poll_request(&self, timeout: Duration) {
        let (sender, requested) = oneshot::channel();
        *self.poll_waker.borrow_mut() = Some(sender);
        if !self.poll_requested.get() {
            let _ = compio::time::timeout(timeout, requested).await;
        }
    }

    /// Updates whether the configuration has this host's failure domain, and logs an error if not.
    pub fn check_domain(&self) {
        let configured = self.node.borrow().region().is_some();
        self.is_domain_configured.set(configured);
        if !configured {
            let code = Code::SettingsDomain;
            log::error!(code = code.number(), failure_domain = self.settings.failure_domain;
                "{}", code.text());
        }
    }
}
