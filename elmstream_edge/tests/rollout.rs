//! Roll-out of a new version of a service, by hosts with real sockets.

mod support;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use elmstream_steer::{
    model::Repeatability,
    rollout::{RolloutOrder, RolloutStage},
    view::{RowContent, RowKey},
};
use support::{
    Running, SERVICE, Store, backend, configuration, good, header, ip, run, send_request, server,
    start, until,
};

/// Servers of each version.
const SERVERS: usize = 3;
/// Time from the roll-out order until the decision is due.
const ROLLOUT_DURATION: Duration = Duration::from_secs(8);
/// Pause between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);

/// Sets the version in a server's row.
fn with_version(version: &str, item: RowContent) -> RowContent {
    match item {
        RowContent::Server(server) => {
            RowContent::Server(elmstream_steer::model::Server { version: version.into(), ..server })
        }
        item => item,
    }
}

fn server_error(head: &str) -> Vec<u8> {
    let id = header(head, "elmstream-request");
    format!("HTTP/1.1 500 Oops\r\nelmstream-request: {id}\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// Starts servers of a version; returns the count of requests that they receive together.
async fn serve(
    store: &Store,
    version: &'static str,
    answer: impl Fn(usize, &str) -> Vec<u8> + Clone + 'static,
) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    for n in 0..SERVERS {
        let (received, answer) = (count.clone(), answer.clone());
        let (address, _) = backend(ip(), move |head| {
            received.set(received.get() + 1);
            answer(received.get(), head)
        })
        .await;
        let key = RowKey::Server(format!("{version}-{n}"));
        store.put(key, Some(with_version(version, server(address))));
    }
    count
}

/// Three hosts that know each other, with servers of the first version.
async fn fleet() -> (Store, Vec<Running>, Rc<Cell<usize>>) {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    let old = serve(&store, "v1", |_, head| good(head, "ok")).await;
    let mut hosts: Vec<Running> = Vec::new();
    for _ in 0..3 {
        let seeds: Vec<_> = hosts.iter().map(|host| host.edge.settings.host.peers).collect();
        hosts.push(start(ip(), &store, &seeds));
    }
    let have_met = || {
        hosts.iter().all(|host| {
            host.edge.serves()
                && host.edge.steer.borrow().members().target_count() + 1 == hosts.len()
        })
    };
    assert!(until(Duration::from_secs(3), have_met).await, "the hosts know each other");
    (store, hosts, old)
}

/// Sends requests until `is_done` or the timeout; returns how many were sent, and how many
/// failed.
async fn send(hosts: &[Running], timeout: Duration, is_done: impl Fn() -> bool) -> (usize, usize) {
    let (began, mut sent, mut failed) = (Instant::now(), 0, 0);
    while began.elapsed() < timeout && !is_done() {
        let host = hosts[sent % hosts.len()].callers;
        let answer = send_request(host, &format!("r-{sent}"), &format!("/{}", sent % 41)).await;
        failed += usize::from(answer.is_none_or(|answer| answer.status != 200));
        sent += 1;
        compio::time::sleep(REQUEST_INTERVAL).await;
    }
    (sent, failed)
}

fn write_order(store: &Store) {
    let duration_ms = ROLLOUT_DURATION.as_millis() as u64;
    let order = RolloutOrder { target: "v2".into(), duration_ms };
    store.put(RowKey::Rollout(SERVICE.into()), Some(RowContent::Rollout(order)));
}

#[test]
fn good_version_takes_over_all_requests() {
    run(async || {
        let (store, hosts, old) = fleet().await;
        // The hosts must have run for a while and know the usual response times.
        send(&hosts, Duration::from_secs(4), || false).await;
        write_order(&store);
        let new = serve(&store, "v2", |_, head| good(head, "new")).await;
        let is_completed = || store.stage(SERVICE) == Some(RolloutStage::Completed);
        let (sent, failed) = send(&hosts, ROLLOUT_DURATION, is_completed).await;
        assert!(is_completed(), "it is {:?} after {sent} requests", store.stage(SERVICE));
        assert_eq!(failed, 0, "of {sent} requests");
        let before = old.get();
        let (sent, failed) = send(&hosts, Duration::from_secs(1), || false).await;
        assert_eq!((old.get(), failed), (before, 0), "of {sent} requests");
        assert!(new.get() > sent);
    });
}

#[test]
fn failing_version_is_rolled_back_also_at_starting_hosts() {
    run(async || {
        let (store, mut hosts, _) = fleet().await;
        send(&hosts, Duration::from_secs(4), || false).await;
        write_order(&store);
        let alternately_failing =
            |count, head: &str| if count % 2 == 0 { server_error(head) } else { good(head, "") };
        let new = serve(&store, "v2", alternately_failing).await;
        let is_decided = || store.stage(SERVICE).is_some_and(RolloutStage::is_final);
        let (sent, failed) = send(&hosts, ROLLOUT_DURATION, is_decided).await;
        assert_eq!(store.stage(SERVICE), Some(RolloutStage::RolledBack), "after {sent} requests");
        assert!(new.get() <= sent / 10 + 50, "{} of {sent} requests", new.get());
        assert_eq!(failed, 0, "reads that failed there are retried at other servers");
        compio::time::sleep(Duration::from_secs(2)).await;
        let seeds: Vec<_> = hosts.iter().map(|host| host.edge.settings.host.peers).collect();
        hosts.push(start(ip(), &store, &seeds));
        let serves = || hosts.iter().all(|host| host.edge.serves());
        assert!(until(Duration::from_secs(3), serves).await, "the new host serves");
        let before = new.get();
        let (sent, failed) = send(&hosts, Duration::from_secs(2), || false).await;
        assert_eq!((new.get(), failed), (before, 0), "of {sent} requests");
    });
}
