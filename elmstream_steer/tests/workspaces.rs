//! Which workspace a key stands for, in any configuration and whatever changes.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use elmstream_steer::{
    Pick, PickRequest,
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

/// Workspaces by number with keys by number.
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

/// Whoever alone holds a key, by looking at all.
fn holder(keys: &[(u8, u8)], key: u8) -> Option<String> {
    let holders = keys.iter().filter(|(_, held)| *held == key).map(|(name, _)| *name);
    let holders: BTreeSet<u8> = holders.collect();
    match holders.len() {
        1 => holders.first().map(|name| format!("w-{name}")),
        _ => None,
    }
}

quickcheck! {
    fn a_key_stands_for_the_one_workspace_that_holds_it(keys: Vec<(u8, u8)>) -> bool {
        let table = table(&keys);
        (0..=u8::MAX).all(|key| {
            let found = table.find(&digest(key)).map(|member| member.workspace.name.clone());
            found == holder(&keys, key)
        })
    }

    fn what_is_let_in_follows_from_the_key_the_route_and_what_is_sure(
        keys: Vec<(u8, u8)>, key: u8, open: bool, sure: bool
    ) -> bool {
        let table = table(&keys);
        let mut route = route(Repeatability::Safe, &[]);
        route.open = open;
        let name = |shown| {
            let let_in = table.authenticate(&route, shown, sure);
            let_in.map(|member| member.map(|member| member.workspace.name.clone()))
        };
        let held = holder(&keys, key);
        let without = |denial| match (keys.is_empty() || open, sure) {
            (true, _) => Ok(None),
            (false, true) => Err(denial),
            (false, false) => Err(Denial::Stale),
        };
        let with = if held.is_some() { Ok(held) } else { without(Denial::Unknown) };
        name(PresentedKey::Key(digest(key))) == with
            && name(PresentedKey::Absent) == without(Denial::Missing)
            && name(PresentedKey::Ambiguous) == without(Denial::Ambiguous)
    }

    fn the_newest_configuration_decides_in_whatever_order_they_come(
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
        found.map(|member| member.workspace.name.clone()) == holder(newest.1, key)
    }

    fn requests_run_in_the_homes_of_both_only(route_homes: u8, own_homes: u8, key: u64) -> bool {
        let mut host = ready(0, ms(0), servers(2));
        // Bits for the regions `a`, `b` and one without servers.
        let named = |bits: u8| -> Vec<String> {
            let homes = ["a", "b", "c"].iter().enumerate();
            homes.filter(|(n, _)| bits >> n & 1 == 1).map(|(_, home)| (*home).into()).collect()
        };
        let (homes, own) = (named(route_homes), named(own_homes));
        let texts: Vec<&str> = homes.iter().map(String::as_str).collect();
        let route = route(Repeatability::Safe, &texts);
        let ask = PickRequest {
            route: &route, service: SERVICE, key, tried: &[], returning: false, homes: &own,
        };
        let among = |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        let may = ["a".to_owned(), "b".to_owned()];
        let may = may.iter().any(|region| among(&homes, region) && among(&own, region));
        match host.pick_server(ms(1), &ask) {
            Pick::Send(index) => {
                let region = &host.servers().get(index).expect("it was chosen").region;
                among(&homes, region) && among(&own, region)
            }
            Pick::Refuse(_) => !may,
        }
    }
}

#[test]
fn ten_thousand_workspaces_are_looked_up_in_a_few_megabytes() {
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
            let found = table.find(&digest).expect("it is held");
            assert_eq!(found.workspace.name, format!("w-{n}"));
        }
    }
    assert!(table.find(&KeyDigest::of(b"another")).is_none());
    // As it goes from host to host: 16 bytes a key, and what the names take.
    let bytes = postcard::to_allocvec(&configuration).expect("it can be written").len();
    assert!(bytes < 2_500_000, "{bytes} bytes");
}
