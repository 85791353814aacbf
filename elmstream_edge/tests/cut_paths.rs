//! Hosts that lose their network paths to backend servers that keep running.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime::JoinHandle};
use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{
    Received, Running, Store, configuration, good, ip, run, send_request, serve_connection, server,
    start, until,
};

const TIMEOUT: Duration = Duration::from_secs(3);

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
