//! Cost of request digests.
//!
//! As long as no server has crashed under a request there is no cost, as no digest is
//! computed.

use std::{
    cell::{OnceCell, RefCell},
    hint::black_box,
    rc::Rc,
    time::Instant,
};

use bytes::Bytes;
use elmstream::time::Time;
use elmstream_edge::{callers::CallerRequest, request_digest::RequestDigests};
use elmstream_steer::model::{Repeatability, Route, WeightedService};
use http::{HeaderMap, Method};

/// Requests in a timed run, and number of runs; the fastest run counts.
const REQUESTS: usize = 2_000;
const RUNS: usize = 5;
/// Nanoseconds that the digests of a request without a body may take, with a margin for a
/// busy machine and for the test profile.
const NANOS_MAX: u128 = 20_000;

fn caller_request(bytes: usize) -> CallerRequest {
    let route = Route {
        name: "r".into(),
        host: "shop.example".into(),
        prefix: "/".into(),
        repeat: Repeatability::Safe,
        attempts: 2,
        timeout_ms: 800,
        objective_ms: 300,
        priority: 0,
        affinity: true,
        homes: Vec::new(),
        parts: vec![WeightedService { service: "shop".into(), weight: 1.0 }],
        open: false,
    };
    CallerRequest {
        id: "9c41d07be2a35f68".into(),
        caller: [10, 0, 0, 1].into(),
        host: "shop.example".into(),
        route: Rc::new(route),
        service: "shop".into(),
        key: 0,
        has_key: true,
        method: Method::GET,
        uri: "/some/path/of/usual/length?with=a&query=1".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; bytes]),
        received: Time(0),
        deadline: Time(0),
        returning: false,
        workspace: None,
        relayed: None,
        version: 0,
        homes: RefCell::default(),
        progress: Rc::default(),
        digests: OnceCell::new(),
    }
}

/// Nanoseconds that both digests of a request take.
fn cost(bytes: usize, requests: usize) -> u128 {
    let caller_request = caller_request(bytes);
    let run = || {
        let began = Instant::now();
        for _ in 0..requests {
            black_box(RequestDigests::of("a secret of the fleet", black_box(&caller_request)));
        }
        began.elapsed().as_nanos() / requests as u128
    };
    (0..RUNS).map(|_| run()).min().unwrap_or_default()
}

#[test]
fn digests_of_a_request_are_cheap() {
    let nanos = cost(0, REQUESTS);
    println!("no body: {nanos} ns; 60 KB: {} ns", cost(60_000, REQUESTS / 20));
    assert!(nanos <= NANOS_MAX, "{nanos} ns");
}
