//! A service is rolled out to servers of another version, by hosts with real sockets.

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
    Running, SERVICE, Store, ask, backend, configuration, good, header, ip, run, server, start,
    until,
};

/// Servers of each version.
const SERVERS: usize = 3;
/// Time from the order until it has to be decided.
const DURATION: Duration = Duration::from_secs(8);
/// Time between two requests of callers.
const PAUSE: Duration = Duration::from_millis(4);

/// A server's row with a version.
fn of(version: &str, item: RowContent) -> RowContent {
    match item {
        RowContent::Server(server) => {
            RowContent::Server(elmstream_steer::model::Server { version: version.into(), ..server })
        }
        item => item,
    }
}

fn failing(head: &str) -> Vec<u8> {
    let id = header(head, "elmstream-request");
    format!("HTTP/1.1 500 Oops\r\nelmstream-request: {id}\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// Servers of a version; how many requests they have got together.
async fn serve(
    store: &Store,
    version: &'static str,
    answer: impl Fn(usize, &str) -> Vec<u8> + Clone + 'static,
) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    for n in 0..SERVERS {
        let (got, answer) = (count.clone(), answer.clone());
        let (address, _) = backend(ip(), move |head| {
            got.set(got.get() + 1);
            answer(got.get(), head)
        })
        .await;
        let key = RowKey::Server(format!("{version}-{n}"));
        store.put(key, Some(of(version, server(address))));
    }
    count
}

/// Three hosts that have met, with servers of the first version.
async fn fleet() -> (Store, Vec<Running>, Rc<Cell<usize>>) {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    let old = serve(&store, "v1", |_, head| good(head, "ok")).await;
    let mut hosts: Vec<Running> = Vec::new();
    for _ in 0..3 {
        let seeds: Vec<_> = hosts.iter().map(|host| host.edge.settings.host.peers).collect();
        hosts.push(start(ip(), &store, &seeds));
    }
    let met = || {
        hosts.iter().all(|host| {
            host.edge.serves()
                && host.edge.steer.borrow().members().target_count() + 1 == hosts.len()
        })
    };
    assert!(until(Duration::from_secs(3), met).await, "the hosts have met");
    (store, hosts, old)
}

/// Sends requests for a time or until something holds; how many, and how many failed.
async fn send(hosts: &[Running], within: Duration, end: impl Fn() -> bool) -> (usize, usize) {
    let (began, mut sent, mut failed) = (Instant::now(), 0, 0);
    while began.elapsed() < within && !end() {
        let host = hosts[sent % hosts.len()].callers;
        let answer = ask(host, &format!("r-{sent}"), &format!("/{}", sent % 41)).await;
        failed += usize::from(answer.is_none_or(|answer| answer.status != 200));
        sent += 1;
        compio::time::sleep(PAUSE).await;
    }
    (sent, failed)
}

fn order(store: &Store) {
    let duration_ms = DURATION.as_millis() as u64;
    let order = RolloutOrder { target: "v2".into(), duration_ms };
    store.put(RowKey::Rollout(SERVICE.into()), Some(RowContent::Rollout(order)));
}

#[test]
fn a_good_version_takes_over_before_the_others_are_stopped() {
    run(async || {
        let (store, hosts, old) = fleet().await;
        // Hosts know how long answers usually take, and have run for a while.
        send(&hosts, Duration::from_secs(4), || false).await;
        order(&store);
        let new = serve(&store, "v2", |_, head| good(head, "new")).await;
        let completed = || store.stage(SERVICE) == Some(RolloutStage::Completed);
        let (sent, failed) = send(&hosts, DURATION, completed).await;
        assert!(completed(), "it is {:?} after {sent} requests", store.stage(SERVICE));
        assert_eq!(failed, 0, "of {sent} requests");
        let before = old.get();
        let (sent, failed) = send(&hosts, Duration::from_secs(1), || false).await;
        assert_eq!((old.get(), failed), (before, 0), "of {sent} requests");
        assert!(new.get() > sent);
    });
}

#[test]
fn a_version_that_fails_is_turned_away_and_stays_so_for_a_host_that_starts() {
    run(async || {
        let (store, mut hosts, _) = fleet().await;
        send(&hosts, Duration::from_secs(4), || false).await;
        order(&store);
        let fails = |count, head: &str| if count % 2 == 0 { failing(head) } else { good(head, "") };
        let new = serve(&store, "v2", fails).await;
        let decided = || store.stage(SERVICE).is_some_and(RolloutStage::is_final);
        let (sent, failed) = send(&hosts, DURATION, decided).await;
        assert_eq!(store.stage(SERVICE), Some(RolloutStage::RolledBack), "after {sent} requests");
        assert!(new.get() <= sent / 10 + 50, "{} of {sent} requests", new.get());
        assert_eq!(failed, 0, "reads that failed there are sent on to others");
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
