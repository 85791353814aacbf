//! Hosts that lose their network paths to backend servers that keep running.

mod support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime::JoinHandle};
use elmstream_steer::{model::Repeatability, view::RowKey};
use elmstreamd::clock;
use support::{
    Received, Running, Store, backend, configuration, good, ip, run, send_request,
    serve_connection, server, start, until,
};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the callers of a cut host must be served again; the users allow 3 s.
const DETECTION_TIME: Duration = Duration::from_secs(2);
const SERVERS: usize = 4;

/// Servers that never answer `/held`, and whose connections can all be cut at once.
#[derive(Clone, Default)]
struct Servers {
    received: Received,
    listeners: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Servers {
    async fn start(store: &Store, count: usize) -> Servers {
        let servers = Servers::default();
        for number in 0..count {
            let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let received = servers.received.clone();
            let serving = compio::runtime::spawn(async move {
                let mut open = Vec::new();
                while let Ok((stream, _)) = listener.accept().await {
                    let received = received.clone();
                    open.push(compio::runtime::spawn(async move {
                        let answer = |head: &str| match head.contains(" /held") {
                            true => Vec::new(),
                            false => good(head, "ok"),
                        };
                        serve_connection(stream, &received, &answer).await;
                    }));
                }
            });
            servers.listeners.borrow_mut().push(serving);
            store.put(RowKey::Server(format!("s-{number}")), Some(server(address)));
        }
        servers
    }

    /// Closes all connections and accepts no new ones, as a host sees it whose paths are cut.
    fn cut(&self) {
        self.listeners.borrow_mut().clear();
    }
}

async fn serving_host(store: &Store) -> Running {
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    let host = start(ip(), store, &[]);
    assert!(until(TIMEOUT, || host.edge.serves()).await);
    host
}

#[test]
fn servers_whose_paths_are_reset_together_count_as_running() {
    run(async || {
        let store = Store::default();
        let servers = Servers::start(&store, 4).await;
        let host = serving_host(&store).await;
        let callers = host.callers;
        let held = (0..8).map(|n| async move {
            let path = format!("/held/{n}");
            send_request(callers, &format!("h-{n}"), &path).await;
        });
        let held: Vec<_> = held.map(compio::runtime::spawn).collect();
        assert!(until(TIMEOUT, || servers.received.requests.borrow().len() >= 8).await);
        servers.cut();
        for request in held {
            request.await.expect("it ends");
        }
        assert!(host.edge.steer.borrow().poison().is_empty(), "crashes are reported");
    });
}

/// A store that lists servers at the given addresses.
fn store_of(addresses: &[SocketAddr], repeat: Repeatability) -> Store {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, repeat)));
    for (number, address) in addresses.iter().enumerate() {
        store.put(RowKey::Server(format!("s-{number}")), Some(server(*address)));
    }
    store
}

/// Addresses that refuse connections.
async fn closed_addresses() -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        addresses.push(listener.local_addr().expect("an address"));
    }
    addresses
}

/// Hosts that know one set of servers: the first `cut` hosts have no path to them.
struct CutFleet {
    hosts: Vec<Running>,
    closed: Vec<SocketAddr>,
    received: Vec<Received>,
}

impl CutFleet {
    async fn start(cut: usize, hosts: usize, repeat: Repeatability) -> CutFleet {
        let closed = closed_addresses().await;
        let (mut open, mut received) = (Vec::new(), Vec::new());
        for _ in 0..SERVERS {
            let (address, requests) = backend(ip(), |head| good(head, "ok")).await;
            open.push(address);
            received.push(requests);
        }
        let stores = [store_of(&closed, repeat), store_of(&open, repeat)];
        let mut running: Vec<Running> = Vec::new();
        for number in 0..hosts {
            let host = start(ip(), &stores[usize::from(number >= cut)], &[]);
            // Each host takes the addresses from its own store before it meets the others.
            assert!(until(TIMEOUT, || host.edge.serves()).await);
            for other in &running {
                let peers = other.edge.settings.host.peers;
                host.edge.steer.borrow_mut().add_peer_address(clock::now(), peers);
            }
            running.push(host);
        }
        let met = || {
            running.iter().all(|host| {
                host.edge.serves() && host.edge.steer.borrow().members().target_count() + 1 == hosts
            })
        };
        assert!(until(TIMEOUT, met).await, "the hosts know each other");
        CutFleet { hosts: running, closed, received }
    }

    /// Sends requests to a host one after another; returns how many were served.
    async fn served(&self, host: usize, name: &str, count: usize) -> usize {
        let mut served = 0;
        for n in 0..count {
            let id = format!("{name}-{n}");
            let answer = send_request(self.hosts[host].callers, &id, &format!("/{id}")).await;
            served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        }
        served
    }

    async fn learn_cut(&self, host: usize) {
        self.served(host, "learn", 10).await;
        compio::time::sleep(DETECTION_TIME).await;
    }

    /// Number of times that servers ran the requests of [`CutFleet::served`].
    fn runs(&self, name: &str) -> usize {
        let ran = |received: &Received| {
            let requests = received.requests.borrow();
            requests.iter().filter(|head| head.contains(&format!(" /{name}-"))).count()
        };
        self.received.iter().map(ran).sum()
    }
}

#[test]
fn callers_of_a_host_without_paths_to_servers_are_served_once() {
    run(async || {
        for repeat in [Repeatability::Safe, Repeatability::Once] {
            let fleet = CutFleet::start(1, 3, repeat).await;
            fleet.learn_cut(0).await;
            assert_eq!(fleet.served(0, "cut", 40).await, 40, "at the cut host");
            assert_eq!(fleet.runs("cut"), 40, "runs at servers");
            assert_eq!(fleet.served(1, "other", 40).await, 40, "at another host");
        }
    });
}

#[test]
fn hosts_that_all_lost_their_paths_refuse_at_once() {
    run(async || {
        let fleet = CutFleet::start(3, 3, Repeatability::Safe).await;
        for host in 0..3 {
            fleet.learn_cut(host).await;
        }
        let began = std::time::Instant::now();
        assert_eq!(fleet.served(0, "none", 20).await, 0);
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    });
}

#[test]
fn host_whose_paths_are_back_sends_to_servers_itself() {
    run(async || {
        let fleet = CutFleet::start(1, 2, Repeatability::Safe).await;
        fleet.learn_cut(0).await;
        let mut own = Vec::new();
        for address in &fleet.closed {
            let listener = TcpListener::bind(address).await.expect("the port is free");
            let received = Received::default();
            own.push(received.clone());
            compio::runtime::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let received = received.clone();
                    compio::runtime::spawn(async move {
                        serve_connection(stream, &received, &|head: &str| good(head, "ok")).await;
                    })
                    .detach();
                }
            })
            .detach();
        }
        compio::time::sleep(DETECTION_TIME).await;
        assert_eq!(fleet.served(0, "back", 20).await, 20);
        let ran: usize = own.iter().map(|received| received.requests.borrow().len()).sum();
        assert!(ran >= 20, "{ran} requests over the host's own paths");
    });
}
