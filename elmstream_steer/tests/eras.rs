//! Nothing that was acknowledged goes back, and all is in force in time, though the store
//! comes back from a copy some seconds old.
//!
//! Drawn fleets hold what the store acknowledged: configurations, evacuations, servers that
//! leave. The operator and the servers write again some time after the store's return.

mod support;

#[path = "support/eras.rs"]
mod eras;

use std::env;

use elmstream::time::MILLI;
use elmstream_steer::{
    Steer,
    era::Retention,
    model::Configuration,
    rollout::{RolloutOrder, RolloutProgress, RolloutStage},
    steer::StateChange,
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
};
use eras::{Drill, Seen, Without, play};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{configuration, host, ms, server, with};

impl Arbitrary for Drill {
    fn arbitrary(g: &mut Gen) -> Drill {
        let mut up_to = |most: u64| u64::arbitrary(g) % most;
        let hosts = [1, 2, 3, 5, 12, 30, 60][up_to(7) as usize];
        Drill {
            hosts,
            age: 500 + up_to(9_500),
            away: up_to(3_000) / 20 * 20,
            operator: 200 + up_to(4_800),
            servers: up_to(1_500),
            again: (up_to(3) == 0).then(|| 3_200 + up_to(250) * 20),
            changes_after: up_to(2) == 0,
            news: None,
            turned_away: [0, 0, 30, 100][up_to(4) as usize],
            restarted: [0, 0, 30, 50, 100][up_to(5) as usize],
            late: [0, 5][up_to(2) as usize],
            seed: up_to(1 << 32),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Drill>> {
        let drill = self.clone();
        let fewer = [1, 2, 3, 5].into_iter().filter(move |hosts| *hosts < drill.hosts);
        let drill = self.clone();
        let fewer = fewer.map(move |hosts| Drill { hosts, ..drill.clone() });
        let plainer = [
            Drill { again: None, ..self.clone() },
            Drill { turned_away: 0, ..self.clone() },
            Drill { restarted: 0, ..self.clone() },
            Drill { late: 0, ..self.clone() },
            Drill { changes_after: false, ..self.clone() },
        ];
        let same = format!("{self:?}");
        Box::new(fewer.chain(plainer).filter(move |drill| format!("{drill:?}") != same))
    }
}

/// A number that is given by hand, or the usual one.
fn given(name: &str, usual: u64) -> u64 {
    env::var(name).ok().and_then(|number| number.parse().ok()).unwrap_or(usual)
}

#[test]
fn nothing_goes_back_and_all_is_in_force_in_time_in_drawn_drills() {
    fn check(drill: Drill) -> TestResult {
        let seen = play(&drill, Without::Nothing);
        match seen.first {
            Some(first) => TestResult::error(format!("{first}; {drill:?}")),
            None => TestResult::passed(),
        }
    }
    let drawn = Gen::from_size_and_seed(100, given("SEED", 1));
    let check = check as fn(Drill) -> TestResult;
    QuickCheck::new().rng(drawn).tests(given("DRILLS", 60)).quickcheck(check);
}

/// What is seen of some drills together.
fn together(without: Without) -> Seen {
    let mut sum = Seen::default();
    for seed in 0..8 {
        let drill = Drill { operator: 4_000, restarted: 30, ..Drill::plain(12, seed) };
        let seen = play(&drill, without);
        sum.back += seen.back;
        sum.late += seen.late;
    }
    sum
}

#[test]
fn each_rule_is_needed() {
    let all = together(Without::Nothing);
    assert_eq!((all.back, all.late), (0, 0));
    for without in [Without::Eras, Without::Holds, Without::Telling] {
        let seen = together(without);
        println!("without {without:?}: {} went back, {} were late", seen.back, seen.late);
        assert!(seen.back + seen.late > 0, "nothing is seen without {without:?}");
    }
}

/// When a configuration is acknowledged after the return, in milliseconds.
const NEWS: u64 = 60;

/// What the store has acknowledged is in force at all hosts soon after its return, and it is
/// not crowded then.
#[test]
fn a_return_is_soon_known_in_fleets_of_any_size() {
    let sizes = env::var("SIZES").unwrap_or_else(|_| "12,75,240".to_owned());
    for hosts in sizes.split(',').map(|hosts| hosts.parse().expect("a number of hosts")) {
        let plain = Drill::plain(hosts, 7);
        let drill = Drill { changes_after: false, news: Some(NEWS), ..plain };
        let seen = play(&drill, Without::Nothing);
        let took = seen.agreed_after - NEWS;
        println!("{hosts} hosts: in force after {took} ms, {} calls", seen.calls);
        assert_eq!(seen.first, None);
        assert!(took <= 2_500, "{hosts} hosts: after {took} ms");
        // Two tables, ten calls a second each of the whole fleet, and those that ask by rank.
        assert!(seen.calls <= 120, "{hosts} hosts: {} calls in 3 s", seen.calls);
    }
}

/// A row with a version of an era.
fn of(era: u64, count: u64, row: Row) -> Row {
    Row { version: StoreVersion::new(era, count), ..row }
}

fn evacuation() -> Row {
    let key = RowKey::Evacuation("a1".into());
    Row::new(key, StoreVersion::default(), Some(RowContent::Evacuation))
}

fn draining(entries: u64, draining: bool) -> Row {
    with(server("s", "a1", 0), 0, |server| {
        (server.entries, server.draining) = (entries, draining);
    })
}

/// A host that read these rows of a table in the first era, up to a counter.
fn knows(table: Table, count: u64, rows: Vec<Row>) -> Steer {
    let mut steer = host(0, ms(0));
    let rows = rows.into_iter().map(|row| of(1, count, row)).collect();
    steer.on_full_read(ms(0), table, StoreVersion::new(1, count), rows);
    steer
}

/// The store's rows in its second era, up to a counter.
fn returns(
    steer: &mut Steer,
    at: u64,
    table: Table,
    count: u64,
    rows: Vec<Row>,
) -> Vec<StateChange> {
    steer.on_full_read(ms(at), table, StoreVersion::new(2, count), rows)
}

fn evacuated(steer: &Steer) -> bool {
    steer.view().get(&evacuation().key).is_some()
}

#[test]
fn a_return_is_told_with_what_holds_on() {
    let mut steer = knows(Table::Rules, 100, vec![configuration(7, 0), evacuation()]);
    let copy = vec![of(2, 60, configuration(5, 0))];
    let changes = returns(&mut steer, 1_000, Table::Rules, 70, copy);
    let Some(StateChange::StoreRestored(returned)) = changes.last() else { panic!("{changes:?}") };
    assert_eq!(returned.before, StoreVersion::new(1, 100));
    assert_eq!(returned.retained, [RowKey::Configuration, evacuation().key]);
    assert_eq!((steer.configuration_version(), evacuated(&steer)), (Some(7), true));
}

#[test]
fn what_nobody_writes_again_ends() {
    let mut steer = knows(Table::Rules, 100, vec![configuration(7, 0), evacuation()]);
    returns(&mut steer, 1_000, Table::Rules, 70, vec![of(2, 60, configuration(5, 0))]);
    let Retention { evacuation, configuration, .. } = Retention::default();
    steer.tick(ms(1_000 + evacuation / MILLI - 1));
    assert!(evacuated(&steer));
    let changes = steer.tick(ms(1_000 + evacuation / MILLI));
    assert!(
        changes.iter().any(|change| matches!(change, StateChange::RetentionEnded(_))),
        "{changes:?}"
    );
    assert_eq!((steer.configuration_version(), evacuated(&steer)), (Some(7), false));
    steer.tick(ms(1_000 + configuration / MILLI));
    assert_eq!(steer.configuration_version(), Some(5));
}

#[test]
fn what_was_written_since_the_return_is_taken_at_once() {
    let mut steer = knows(Table::Rules, 100, vec![evacuation()]);
    returns(&mut steer, 1_000, Table::Rules, 70, vec![of(2, 60, evacuation())]);
    let lifted = Row { content: None, ..evacuation() };
    steer.on_changes(ms(1_100), Table::Rules, vec![of(2, 71, lifted)]);
    assert!(!evacuated(&steer));
    // The copy has it, and it had been taken back: that holds on.
    let mut steer = knows(Table::Rules, 90, vec![evacuation()]);
    let lifted = Row { content: None, ..evacuation() };
    steer.on_changes(ms(10), Table::Rules, vec![of(1, 100, lifted)]);
    returns(&mut steer, 1_000, Table::Rules, 95, vec![of(2, 90, evacuation())]);
    assert!(!evacuated(&steer));
    // It was asked for again before this host first read the new era.
    let mut steer = knows(Table::Rules, 90, vec![evacuation()]);
    let lifted = Row { content: None, ..evacuation() };
    steer.on_changes(ms(10), Table::Rules, vec![of(1, 100, lifted)]);
    returns(&mut steer, 1_000, Table::Rules, 96, vec![of(2, 94, evacuation())]);
    assert!(evacuated(&steer));
}

/// The store comes back twice, the second time from a copy that is older than its first
/// return: a row's counters in the era between are not those of the copy.
#[test]
fn what_was_taken_back_stays_so_over_a_second_return_from_an_older_copy() {
    let mut steer = knows(Table::Rules, 50, vec![evacuation()]);
    returns(&mut steer, 1_000, Table::Rules, 34, vec![of(2, 32, evacuation())]);
    let lifted = Row { content: None, ..evacuation() };
    steer.on_changes(ms(1_100), Table::Rules, vec![of(2, 48, lifted)]);
    let copy = vec![of(3, 27, evacuation())];
    steer.on_full_read(ms(2_000), Table::Rules, StoreVersion::new(3, 28), copy);
    assert!(!evacuated(&steer));
}

#[test]
fn all_that_an_operator_writes_again_one_after_the_other_brings_nothing_back() {
    let mut steer = knows(Table::Rules, 100, vec![configuration(7, 0)]);
    returns(&mut steer, 1_000, Table::Rules, 70, vec![of(2, 60, configuration(4, 0))]);
    for (count, version) in [(71, 5), (72, 6), (73, 7), (74, 8)] {
        steer.on_changes(
            ms(1_000 + count),
            Table::Rules,
            vec![of(2, count, configuration(version, 0))],
        );
        assert_eq!(steer.configuration_version(), Some(version.max(7)));
    }
}

/// A version of a configuration's own that is given out again with other content is not to be
/// expected; what the store holds last is in force then.
#[test]
fn a_configuration_of_the_same_version_with_other_content_is_the_stores() {
    let mut steer = knows(Table::Rules, 100, vec![configuration(7, 0)]);
    let other = Configuration { version: 7, ..Configuration::default() };
    let item = Some(RowContent::Configuration(other));
    let other = Row { content: item, ..configuration(7, 0) };
    returns(&mut steer, 1_000, Table::Rules, 70, vec![of(2, 71, other)]);
    assert!(steer.route("shop.example", "/").is_none());
}

#[test]
fn a_server_that_leaves_goes_on_leaving_by_the_number_of_its_entry() {
    let mut steer = knows(Table::Servers, 100, vec![draining(9, true)]);
    returns(&mut steer, 1_000, Table::Servers, 70, vec![of(2, 60, draining(6, false))]);
    let leaves = |steer: &Steer| {
        let index = steer.servers().find("s").expect("it is listed");
        steer.servers().get(index).is_some_and(|entry| entry.server.draining)
    };
    assert!(leaves(&steer));
    steer.on_changes(ms(1_100), Table::Servers, vec![of(2, 71, draining(10, true))]);
    assert!(leaves(&steer));
    steer.on_changes(ms(1_200), Table::Servers, vec![of(2, 72, draining(11, false))]);
    assert!(!leaves(&steer), "it has written that it stays");
}

/// A host that was cut off for an hour knows what was in force in the era before.
#[test]
fn a_host_that_returns_after_an_hour_brings_nothing_back() {
    const HOUR: u64 = 3_600_000;
    let mut late = knows(Table::Rules, 100, vec![configuration(7, 0), evacuation()]);
    let mut other = host(1, ms(0));
    let rows = vec![of(2, 300, configuration(9, 0))];
    other.on_full_read(ms(HOUR), Table::Rules, StoreVersion::new(2, 300), rows);
    let after = late.view().watermark(Table::Rules).version;
    let told = other.rows_for(ms(HOUR), Table::Rules, after);
    late.on_table_rows(ms(HOUR), Table::Rules, told);
    late.tick(ms(HOUR + 100));
    assert_eq!((late.configuration_version(), evacuated(&late)), (Some(9), false));
    let after = other.view().watermark(Table::Rules).version;
    let told = late.rows_for(ms(HOUR), Table::Rules, after);
    other.on_table_rows(ms(HOUR), Table::Rules, told);
    assert_eq!((other.configuration_version(), evacuated(&other)), (Some(9), false));
}

/// News go from an era to a later one only.
#[test]
fn a_host_takes_nothing_of_an_earlier_era_from_another() {
    let mut new = knows(Table::Rules, 100, vec![configuration(7, 0)]);
    returns(&mut new, 1_000, Table::Rules, 70, vec![of(2, 60, configuration(7, 0))]);
    let old = knows(Table::Rules, 120, vec![configuration(7, 0), evacuation()]);
    let told = old.rows_for(ms(1_000), Table::Rules, StoreVersion::default());
    assert!(new.on_table_rows(ms(1_000), Table::Rules, told).is_empty());
    assert!(!evacuated(&new));
}

/// A store that does not name its era works as before.
#[test]
fn a_store_without_eras_counts_on() {
    let mut steer = host(0, ms(0));
    let at = |count| StoreVersion::new(0, count);
    steer.on_full_read(ms(0), Table::Rules, at(10), vec![configuration(1, 10)]);
    steer.on_changes(ms(100), Table::Rules, vec![configuration(2, 20)]);
    steer.on_full_read(ms(200), Table::Rules, at(30), vec![configuration(3, 30)]);
    assert_eq!((steer.configuration_version(), steer.view().retained_count()), (Some(3), 0));
}

/// A domain was emptied and taken back; that it is to be emptied again was acknowledged just
/// before the store went away, so no host read it, and written again 0.2 s after the return,
/// before hosts first read the new era. Some take that row for the copy's for 60 s.
#[test]
fn an_evacuation_asked_for_again_around_the_return_is_in_force_in_time() {
    let plain = Drill::plain(5, 1_981_016_506);
    let drill = Drill {
        age: 8_510,
        away: 1_300,
        operator: 201,
        servers: 0,
        changes_after: false,
        restarted: 30,
        ..plain
    };
    let seen = play(&drill, Without::Nothing);
    assert_eq!(seen.first, None);
}

fn rolled(stage: RolloutStage) -> Row {
    let order = StoreVersion::new(1, 40);
    let progress = RolloutProgress { order, target: "v2".into(), stage, began_unix_ms: 0 };
    let item = Some(RowContent::Progress(progress));
    Row::new(RowKey::Progress("shop".into()), StoreVersion::default(), item)
}

fn ordered() -> Row {
    let order = RolloutOrder { target: "v2".into(), duration_ms: 12_000 };
    Row::new(
        RowKey::Rollout("shop".into()),
        StoreVersion::default(),
        Some(RowContent::Rollout(order)),
    )
}

/// Neither an older copy of the store nor older news take a verdict back.
#[test]
fn a_verdict_on_a_roll_out_is_never_taken_back() {
    for copied in [Some(rolled(RolloutStage::Canary)), None] {
        let mut steer = knows(Table::Rules, 40, vec![ordered()]);
        let rows = vec![of(1, 60, rolled(RolloutStage::RolledBack))];
        steer.on_full_read(ms(0), Table::Rollouts, StoreVersion::new(1, 60), rows);
        assert_eq!(steer.rollout_stage("shop"), Some(RolloutStage::RolledBack));
        let older = vec![of(1, 61, rolled(RolloutStage::Canary))];
        steer.on_changes(ms(10), Table::Rollouts, older);
        assert_eq!(steer.rollout_stage("shop"), Some(RolloutStage::RolledBack));
        let rows = copied.into_iter().map(|row| of(2, 45, row)).collect();
        returns(&mut steer, 1_000, Table::Rollouts, 50, rows);
        returns(&mut steer, 1_000, Table::Rules, 50, vec![of(2, 40, ordered())]);
        steer.tick(ms(1_100));
        assert_eq!(steer.rollout_stage("shop"), Some(RolloutStage::RolledBack));
        // The operator writes again what the copy may have lost.
        steer.on_changes(ms(1_200), Table::Rules, vec![of(2, 55, ordered())]);
        assert_eq!(steer.rollout_stage("shop"), Some(RolloutStage::RolledBack));
    }
}
