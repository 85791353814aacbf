//! What a request's key and limit cost its host.
//!
//! Before there were workspaces a request cost nothing here. With 80, 1,000 and 10,000 of
//! them it costs 215, 287 and 606 ns with optimisations (one run, beside other work), 321,
//! 372 and 801 ns in the test's profile; the bound leaves room for a busy machine.

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

/// Keys of each workspace.
const KEYS: usize = 10;
/// Requests that are timed, and how often; the fastest time counts.
const REQUESTS: usize = 20_000;
const RUNS: usize = 5;
/// Nanoseconds that a request may cost.
const MOST: u128 = 10_000;

fn key(workspace: usize, number: usize) -> String {
    format!("{workspace}-a-key-of-some-length-{number}")
}

fn table(workspaces: usize) -> WorkspaceTable {
    let workspace = |n: usize| Workspace {
        name: format!("w-{n}"),
        keys: (0..KEYS).map(|k| KeyDigest::of(key(n, k).as_bytes())).collect(),
        rate_per_s: 1e9,
        burst: 1e9,
        ..Workspace::default()
    };
    let workspaces = (0..workspaces).map(workspace).collect();
    WorkspaceTable::new(&Configuration { workspaces, ..Configuration::default() })
}

/// Nanoseconds of a request: its key's digest, the look-up, and the ruling.
fn cost(workspaces: usize) -> u128 {
    let table = table(workspaces);
    let keys: Vec<String> = (0..REQUESTS).map(|n| key(n * 7_919 % workspaces, n % KEYS)).collect();
    let bounds = Bounds::default();
    let run = || {
        let mut quotas = Quotas::new(1, Time(0));
        let began = Instant::now();
        for (n, key) in keys.iter().enumerate() {
            let scene = QuotaContext {
                now: Time(n as u64 * MILLI),
                bounds: &bounds,
                fleet: FleetView { possibly_running: 75, live: 75, near_live: 25 },
                hosts_known: true,
                address_hashes: &[],
            };
            let member = table.find(&KeyDigest::of(key.as_bytes())).expect("it is held");
            black_box(quotas.admit(&scene, member));
        }
        began.elapsed().as_nanos() / REQUESTS as u128
    };
    (0..RUNS).map(|_| run()).min().unwrap_or_default()
}

#[test]
fn a_key_and_a_limit_cost_little_with_any_number_of_workspaces() {
    for workspaces in [80, 1_000, 10_000] {
        let nanos = cost(workspaces);
        println!("{workspaces} workspaces with {KEYS} keys: {nanos} ns a request");
        assert!(nanos <= MOST, "{nanos} ns a request with {workspaces} workspaces");
    }
}
