//! Lookup of workspaces by key and authentication of requests, for any configuration and any order
//! of changes.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use elmstream_steer::{
    Pick, PickRequest,
    homes::Homes,
    key::KeyDigest,
    model::{Configuration, Repeatability, Workspace},
    view::{Row, RowContent, RowKey, Table},
    workspaces::{Denial, PresentedKey, WorkspaceTable},
};
use quickcheck::quickcheck;
use support::{SERVICE, at, ms, ready, route, servers};

fn digest(key: u8) -> KeyDigest {
    KeyDigest::of(&[b'k', key])
}

/// Workspaces and their keys from pairs of numbers.
fn workspaces(keys: &[(u8, u8)]) -> Vec<Workspace> {
    let mut by_name: BTreeMap<u8, Vec<KeyDigest>> = BTreeMap::new();
    for (name, key) in keys {
        by_name.entry(*name).or_default().push(digest(*key));
    }
    let workspace = |(name, keys): (u8, Vec<KeyDigest>)| Workspace {
        name: format!("w-{name}"),
        keys,
        ..Workspace::default()
    };
    by_name.into_iter().map(workspace).collect()
}

fn table(keys: &[(u8, u8)]) -> WorkspaceTable {
    let workspaces = workspaces(keys);
    WorkspaceTable::new(&Configuration { workspaces, ..Configuration::default() })
}

/// The only workspace with a key, found by linear search.
fn holder(keys: &[(u8, u8)], key: u8) -> Option<String> {
    let holders = keys.iter().filter(|(_, held)| *held == key).map(|(name, _)| *name);
    let holders: BTreeSet<u8> = holders.collect();
    match holders.len() {
        1 => holders.first().map(|name| format!("w-{name}")),
        _ => None,
    }
}

quickcheck! {
    fn find_returns_the_only_workspace_with_a_key(keys: Vec<(u8, u8)>) -> bool {
        let table = table(&keys);
        (0..=u8::MAX).all(|key| {
            let found = table.find(&digest(key)).map(|entry| entry.workspace.name.clone());
            found == holder(&keys, key)
        })
    }

    fn authentication_depends_on_key_route_and_certainty(
        keys: Vec<(u8, u8)>, key: u8, open: bool, can_deny: bool
    ) -> bool {
        let table = table(&keys);
        let mut route = route(Repeatability::Safe, &[]);
        route.open = open;
        let authenticate = |presented| {
            let result = table.authenticate(&route, presented, can_deny);
            result.map(|entry| entry.map(|entry| entry.workspace.name.clone()))
        };
        let held = holder(&keys, key);
        let without = |denial| match (keys.is_empty() || open, can_deny) {
            (true, _) => Ok(None),
            (false, true) => Err(denial),
            (false, false) => Err(Denial::Stale),
        };
        // A newer configuration may have the key, and the workspace's homes and limit apply on open
        // routes too.
        let unknown = match !keys.is_empty() && !can_deny {
            true => Err(Denial::Stale),
            false => without(Denial::Unknown),
        };
        let with = if held.is_some() { Ok(held) } else { unknown };
        authenticate(PresentedKey::Key(digest(key))) == with
            && authenticate(PresentedKey::Absent) == without(Denial::Missing)
            && authenticate(PresentedKey::Ambiguous) == without(Denial::Ambiguous)
    }

    fn highest_configuration_version_wins_in_any_order(
        versions: Vec<(u8, Vec<(u8, u8)>)>, key: u8
    ) -> bool {
        let mut host = ready(0, ms(0), servers(1));
        let mut newest: (u64, &[(u8, u8)]) = (1, &[]);
        for (version, keys) in &versions {
            let version = u64::from(*version) + 2;
            if version > newest.0 {
                newest = (version, keys);
            }
            let configuration =
                Configuration { version, workspaces: workspaces(keys), ..Configuration::default() };
            let item = Some(RowContent::Configuration(configuration));
            let row = Row::new(RowKey::Configuration, at(10 + version), item);
            host.on_changes(ms(1), Table::Rules, vec![row]);
        }
        let found = host.workspaces().find(&digest(key));
        found.map(|entry| entry.workspace.name.clone()) == holder(newest.1, key)
    }

    fn requests_run_only_in_homes_of_route_and_workspace(
        route_homes: u8, own_homes: u8, key: u64
    ) -> bool {
        let mut host = ready(0, ms(0), servers(2));
        // Bits for regions `a`, `b` and `c`; `c` has no servers.
        let named = |bits: u8| -> Vec<String> {
            let homes = ["a", "b", "c"].iter().enumerate();
            homes.filter(|(n, _)| bits >> n & 1 == 1).map(|(_, home)| (*home).into()).collect()
        };
        let (homes, own) = (named(route_homes), named(own_homes));
        let texts: Vec<&str> = homes.iter().map(String::as_str).collect();
        let route = route(Repeatability::Safe, &texts);
        let request = PickRequest {
            route: &route, service: SERVICE, key, tried: &[], withheld: &[], returning: false,
            homes: Homes { route: &route.homes, workspace: &own },
            priority: route.priority, workspace: None, remaining_ms: route.timeout_ms,
        };
        let allows = |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        let allowed = ["a".to_owned(), "b".to_owned()];
        let allowed = allowed.iter().any(|region| allows(&homes, region) && allows(&own, region));
        match host.pick_server(ms(1), &request) {
            Pick::Send(index) => {
                let region = &host.servers().get(index).expect("the server was picked").region;
                allows(&homes, region) && allows(&own, region)
            }
            Pick::Refuse(_) => !allowed,
        }
    }
}

#[test]
fn ten_thousand_workspaces_fit_in_a_few_megabytes() {
    let keys = |n: u32| (0..10).map(move |k| KeyDigest::of(format!("{n}/{k}").as_bytes()));
    let workspace = |n: u32| Workspace {
        name: format!("w-{n}"),
        keys: keys(n).collect(),
        ..Workspace::default()
    };
    let workspaces: Vec<Workspace> = (0..10_000).map(workspace).collect();
    let configuration = Configuration { workspaces, ..Configuration::default() };
    let table = WorkspaceTable::new(&configuration);
    for n in (0..10_000).step_by(997) {
        for digest in keys(n) {
            let found = table.find(&digest).expect("a workspace has the key");
            assert_eq!(found.workspace.name, format!("w-{n}"));
        }
    }
    assert!(table.find(&KeyDigest::of(b"another")).is_none());
    // Size of the message between hosts: 16 bytes a key, and the names.
    let bytes =
        postcard::to_allocvec(&configuration).expect("the configuration is serializable").len();
    assert!(bytes < 2_500_000, "{bytes} bytes");
}
