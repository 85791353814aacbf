//! Fleets in which a round of beats does not reach all hosts.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use elmstream_steer::{
    Steer,
    view::{TABLES, Table},
};
use support::{address, configuration, ms, ready, servers};

const HOSTS: usize = 240;
/// Time between two rounds of beats, in milliseconds.
const ROUND: u64 = 300;
/// Datagrams that a host sends in a round at most.
const DATAGRAMS: usize = 64;
/// Bytes of a beat at most.
const BEAT: usize = 1_200;

/// Hosts that send beats by turns, and fetch from each other what they lack.
struct Fleet {
    hosts: Vec<Steer>,
    at: u64,
    round: u64,
}

impl Fleet {
    /// A fleet whose hosts were told of each other at their start.
    fn new() -> Fleet {
        let mut hosts: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(1))).collect();
        for host in &mut hosts {
            for other in 0..HOSTS {
                host.suppose(ms(0), address(2_000 + other));
            }
        }
        Fleet { hosts, at: 0, round: 0 }
    }

    /// One round; `alive` says who takes part.
    fn round(&mut self, alive: impl Fn(usize) -> bool) {
        self.round += 1;
        self.at += ROUND;
        let now = ms(self.at);
        let places: BTreeMap<SocketAddr, usize> =
            (0..HOSTS).map(|n| (address(2_000 + n), n)).collect();
        for from in (0..HOSTS).filter(|n| alive(*n)) {
            let beat = self.hosts[from].beat(now);
            let mut far = beat.clone();
            far.words.clear();
            far.lessons.clear();
            let targets = self.hosts[from].targets(now, self.round);
            assert!(targets.near.len() + targets.far.len() <= DATAGRAMS);
            let size = postcard::to_allocvec(&beat).expect("it can be written").len();
            assert!(size <= BEAT, "{size} bytes");
            let away: &[SocketAddr] = if self.round.is_multiple_of(2) { &targets.far } else { &[] };
            let near = targets.near.iter().map(|to| (to, &beat));
            for (to, beat) in near.chain(away.iter().map(|to| (to, &far))) {
                let to = places[to];
                if alive(to) {
                    self.hear(from, to, beat);
                }
            }
        }
        for host in self.hosts.iter_mut().enumerate().filter(|(n, _)| alive(*n)) {
            host.1.tick(now);
        }
    }

    fn hear(&mut self, from: usize, to: usize, beat: &elmstream_steer::beat::Beat) {
        let now = ms(self.at);
        let Some(news) = self.hosts[to].hear(now, beat) else { return };
        for (table, version) in news.wanted {
            let rows = self.hosts[from].view().since(table, version);
            let known = self.hosts[from].known()[table as usize];
            self.hosts[to].told(now, table, known, rows);
        }
    }

    fn live(&self, host: usize) -> usize {
        self.hosts[host].members().live(ms(self.at)).count()
    }
}

#[test]
fn all_hosts_know_each_other_to_be_live_though_none_is_told_by_all() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.round(|_| true);
    }
    for _ in 0..30 {
        fleet.round(|_| true);
        let least = (0..HOSTS).map(|n| fleet.live(n)).min().unwrap_or_default();
        assert!(least >= HOSTS - 1 - HOSTS / 20, "{least} of {} others", HOSTS - 1);
    }
}

#[test]
fn a_dead_host_is_named_no_more_after_a_few_seconds() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.round(|_| true);
    }
    let dead = 4;
    let died = fleet.at;
    let names = |fleet: &Fleet| -> BTreeSet<usize> {
        let named = |n: &usize| {
            let found = fleet.hosts[*n].lookup(ms(fleet.at), "shop.example", "a1", "a");
            found.contains(&address(1_000 + dead))
        };
        (0..HOSTS).filter(|n| *n != dead).filter(named).collect()
    };
    assert!(!names(&fleet).is_empty());
    while fleet.at < died + 5_000 {
        fleet.round(|n| n != dead);
    }
    assert!(names(&fleet).is_empty(), "{:?}", names(&fleet));
}

#[test]
fn a_configuration_that_one_host_reads_is_in_force_everywhere_in_a_few_rounds() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.round(|_| true);
    }
    let now = ms(fleet.at);
    fleet.hosts[17].read(now, Table::Rules, vec![configuration(2, 30)]);
    let begun = fleet.round;
    let behind = |fleet: &Fleet| {
        let hosts = fleet.hosts.iter();
        hosts.filter(|host| host.version() != Some(2)).count()
    };
    while behind(&fleet) > 0 {
        fleet.round(|_| true);
        assert!(fleet.round - begun <= 4, "{} hosts are behind", behind(&fleet));
    }
}

#[test]
fn one_host_of_many_reads_the_store() {
    let mut fleet = Fleet::new();
    let mut calls = 0;
    for _ in 0..60 {
        fleet.round(|_| true);
        let now = ms(fleet.at);
        for host in &mut fleet.hosts {
            for table in TABLES {
                if host.must_read(now, table) {
                    calls += usize::from(fleet.at > 6_000);
                    host.read(now, table, Vec::new());
                }
            }
        }
    }
    // One reader, two tables, each round of the last 12 s.
    assert!(calls <= 2 * 40 * 2, "{calls} calls in 12 s");
}
