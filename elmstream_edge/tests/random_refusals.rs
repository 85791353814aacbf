//! Refusals of backend servers that have free slots by the headers of their responses.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use elmstream_steer::{
    model::Repeatability,
    view::{RowContent, RowKey},
};
use elmstreamd::clock;
use support::{
    Running, Store, backend, configuration, header, ip, run, send_request, server, settings,
    start_with, until,
};

/// Slots of the server by its row in the store.
const SLOTS: u32 = 2;
const REQUESTS: usize = 12;

/// A response that refuses a request and states the server's load.
fn refusal(head: &str, load: &str) -> Vec<u8> {
    let id = header(head, "elmstream-request");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nelmstream-request: {id}\r\nelmstream-not-run: 1\r\n\
         elmstream-load: {load}\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Rate of refusals with free slots, and the last Retry-After in seconds, after requests to a host
/// whose server refuses all of them and states a load.
async fn refused(by_worth: bool, load: &'static str) -> (f64, f64) {
    let arrivals = Rc::new(Cell::new(0));
    let count = arrivals.clone();
    let (address, _) = backend(ip(), move |head| {
        count.set(count.get() + 1);
        refusal(head, load)
    })
    .await;
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    let RowContent::Server(row) = server(address) else { unreachable!("it is a server") };
    let row = RowContent::Server(elmstream_steer::model::Server { slots: SLOTS, ..row });
    store.put(RowKey::Server("s".into()), Some(row));
    let host_ip = ip();
    let mut settings = settings(host_ip, &[]);
    settings.policies.retries.by_worth = by_worth;
    let host: Running = start_with(host_ip, settings, &store);
    assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
    let mut retry_after = 0.0;
    for n in 0..REQUESTS {
        let answer = send_request(host.callers, &format!("r-{n}"), "/").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let value = answer.headers.get("retry-after").expect("it says when to come back");
        retry_after = value.to_str().expect("text").parse().expect("seconds");
        // A server that counts as full is tried again after this time.
        compio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(arrivals.get() >= REQUESTS / 2, "{} requests reached it", arrivals.get());
    let steer = host.edge.steer.borrow();
    let rate = steer.refusal_rates(clock::now()).map(|(_, rate)| rate).sum();
    (rate, retry_after)
}

/// A server may have more slots than the store says, or finish requests that other hosts still
/// count. What it states in its refusal decides.
#[test]
fn refusal_with_free_slots_by_its_header_counts_as_random() {
    run(async || {
        let (rate, retry_after) = refused(true, "2,0,8").await;
        assert!(rate > 0.25, "{rate}");
        assert_eq!(retry_after, 0.25, "waiting longer does not help");
    });
}

#[test]
fn refusal_of_a_full_server_does_not_count_as_random() {
    run(async || {
        for load in ["2,0,2", "2,3,2", "2,1"] {
            let (rate, retry_after) = refused(true, load).await;
            assert_eq!(rate, 0.0, "load {load}");
            assert!(retry_after > 0.25, "{retry_after} s with load {load}");
        }
    });
}

#[test]
fn refusals_are_not_counted_without_the_setting() {
    run(async || assert_eq!(refused(false, "2,0,8").await.0, 0.0));
}
