//! Bounds the time that a host spends on a request's key and on its workspace's limit.
//!
//! Guards against a cost that grows in proportion to the number of workspaces or keys. The usual
//! cost with 10,000 workspaces is below 1 µs in the test profile; the bound leaves room for a busy
//! machine.

use std::{hint::black_box, time::Instant};

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Bounds,
    key::KeyDigest,
    model::{Configuration, Workspace},
    quota::{QuotaContext, Quotas},
    tally::FleetView,
    workspaces::WorkspaceTable,
};

/// Number of keys of each workspace.
const KEYS_PER_WORKSPACE: usize = 10;
/// Number of timed requests, and of runs; the fastest run counts.
const REQUESTS: usize = 20_000;
const RUNS: usize = 5;
/// Maximum time of a request, in nanoseconds.
const REQUEST_MAX_NANOS: u128 = 10_000;

fn key(workspace: usize, number: usize) -> String {
    format!("{workspace}-a-key-of-some-length-{number}")
}

fn table(workspaces: usize) -> WorkspaceTable {
    let workspace = |n: usize| Workspace {
        name: format!("w-{n}"),
        keys: (0..KEYS_PER_WORKSPACE).map(|k| KeyDigest::of(key(n, k).as_bytes())).collect(),
        rate_per_s: 1e9,
        burst: 1e9,
        ..Workspace::default()
    };
    let workspaces = (0..workspaces).map(workspace).collect();
    WorkspaceTable::new(&Configuration { workspaces, ..Configuration::default() })
}

/// Time of a request in nanoseconds: digest of the key, lookup and quota decision.
fn cost(workspaces: usize) -> u128 {
    let table = table(workspaces);
    let keys: Vec<String> =
        (0..REQUESTS).map(|n| key(n * 7_919 % workspaces, n % KEYS_PER_WORKSPACE)).collect();
    let bounds = Bounds::default();
    let run = || {
        let mut quotas = Quotas::new(1, Time(0));
        let started = Instant::now();
        for (n, key) in keys.iter().enumerate() {
            let context = QuotaContext {
                now: Time(n as u64 * MILLI),
                bounds: &bounds,
                fleet: FleetView { possibly_running: 75, live: 75, near_live: 25 },
                hosts_known: true,
                address_hashes: &[],
            };
            let entry =
                table.find(&KeyDigest::of(key.as_bytes())).expect("a workspace has the key");
            black_box(quotas.admit(&context, entry));
        }
        started.elapsed().as_nanos() / REQUESTS as u128
    };
    (0..RUNS).map(|_| run()).min().unwrap_or_default()
}

#[test]
fn access_check_cost_is_bounded_for_any_number_of_workspaces() {
    for workspaces in [80, 1_000, 10_000] {
        let nanos = cost(workspaces);
        println!("{workspaces} workspaces with {KEYS_PER_WORKSPACE} keys: {nanos} ns a request");
        assert!(nanos <= REQUEST_MAX_NANOS, "{nanos} ns a request with {workspaces} workspaces");
    }
}
