//! A server gets no more bytes of request bodies than it bears.

mod support;

use elmstream_steer::{Pick, model::Repeatability, pick::RefusalReason, servers::Outcome};
use support::{ms, ready, route, send, server};

/// Size of each body, and the bound on those in flight to one server, in bytes.
const BODY: u64 = 400_000;
const BYTES_MAX: u64 = 1_000_000;

/// Load: one server, which answers none of the uploads; its slots would take more of them.
#[test]
fn server_with_its_bytes_in_flight_gets_no_further_request() {
    let mut host = ready(0, ms(5_000), vec![server("s-0", "a1", 2)]);
    let route = route(Repeatability::Safe, &[]);
    let mut sent = Vec::new();
    let refusal = loop {
        match send(&mut host, ms(5_000), &route, 7) {
            Pick::Send(index) => {
                host.add_body_in_flight(index, BODY, BYTES_MAX);
                sent.push(index);
            }
            Pick::Refuse(refusal) => break refusal,
        }
    };
    assert_eq!(sent.len(), 3, "the third body passes the bound");
    assert_eq!(refusal.reason, RefusalReason::NoServer);
    let first = sent[0];
    host.remove_body_in_flight(first, BODY);
    host.record_outcome(ms(5_010), first, Outcome::Answered { micros: 10_000, was_warm: true });
    assert_eq!(send(&mut host, ms(5_010), &route, 7), Pick::Send(first), "bytes are free again");
}
