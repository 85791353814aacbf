//! Reads the store for the fleet, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_steer::{
    reader_rank, store_schedule::ReadReason, version::StoreVersion, view::Table,
};
use elmstreamd::clock;
use serde_json::json;

use crate::{SourceError, StoreSource, edge::Edge, store_source::StoreRows};

/// Pause between two looks at whether it is this host's turn.
pub const LOOK: Duration = Duration::from_millis(60);
/// How long a version may have rested for changes after it to be asked for.
///
/// Backend servers write every second or two, each time as a change, so after that
/// long the changes are more than the whole table, and may not come in time.
const CURSOR_KEEP: u64 = 2 * SECOND;

/// How far a host has read a table.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    version: StoreVersion,
    at: Time,
}

/// Reads a table until the process ends.
pub async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>, table: Table) {
    let mut cursor: Option<Cursor> = None;
    let mut lost: Option<Time> = None;
    loop {
        let now = clock::now();
        let Some(why) = edge.steer.borrow().due_read(now, table) else {
            compio::time::sleep(LOOK).await;
            continue;
        };
        let labels = [("table", name(table)), ("why", why.name())];
        metrics::counter!("elmstream_store_calls", &labels).increment(1);
        let era = edge.steer.borrow().era();
        // In another era the same version names other changes.
        let after =
            cursor.filter(|cursor| now.since(cursor.at) < CURSOR_KEEP && cursor.version.era == era);
        match read(&edge, &*source, table, after.map(|cursor| cursor.version)).await {
            Ok(version) => {
                cursor = version.map(|version| Cursor { version, at: clock::now() });
                // After a history that is gone, all is read next.
                let Some(version) = version else { continue };
                edge.steer.borrow_mut().record_store_answer(table, why, now, version);
                if let Some(since) = lost.take() {
                    regained(&edge, table, why, since);
                }
            }
            Err(error) => {
                metrics::counter!("elmstream_store_calls_failed", &labels).increment(1);
                if lost.is_none() {
                    lost_store(&edge, table, why, now, &error);
                    lost = Some(clock::now());
                }
                edge.steer.borrow_mut().record_store_failure(clock::now(), table);
            }
        }
    }
}

/// The name of a table in logs and metrics.
fn name(table: Table) -> &'static str {
    match table {
        Table::Rules => "Rules",
        Table::Servers => "Servers",
        Table::Rollouts => "Rollouts",
    }
}

/// Writes that the store served this host's calls again, and for how long it had not.
fn regained(edge: &Rc<Edge>, table: Table, why: ReadReason, since: Time) {
    let fields = json!({
        "table": name(table), "why": why.name(),
        "after_ms": clock::now().since(since) / MILLI,
    });
    edge.event_log.write("store_regained", fields);
}

/// Writes that a call failed: why it was made, how long it took, and how old what is
/// known of the table has become meanwhile.
fn lost_store(edge: &Rc<Edge>, table: Table, why: ReadReason, asked: Time, error: &SourceError) {
    let now = clock::now();
    let steer = edge.steer.borrow();
    let age = steer.view().age(now, table).map(|age| age / MILLI);
    let fields = json!({
        "table": name(table), "error": error.to_string(), "why": why.name(),
        "kept": error.was_reused(),
        "took_ms": now.since(asked) / MILLI, "age_ms": age,
        "hosts": steer.members().live(now).count() + 1,
    });
    edge.event_log.write("store_lost", fields);
}

/// Reads what is new; the version to go on from, or none to read all.
///
/// A kept connection may have fallen silent for good while new ones work, on all hosts
/// at once. So a call that fails over one is made anew at once, and only the failure of
/// that one speaks of the store.
async fn read<S: StoreSource>(
    edge: &Rc<Edge>,
    source: &S,
    table: Table,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, SourceError> {
    let bound = edge.settings.bounds.configuration_ms as f64;
    let wait = Duration::from_micros((bound * reader_rank::WAIT_PART) as u64 * MILLI);
    match call(edge, source, table, (after, wait)).await {
        Err(SourceError::Unreachable { cause, reused: true }) => {
            metrics::counter!("elmstream_store_connections_lost").increment(1);
            let fields = json!({"table": name(table), "error": cause});
            edge.event_log.write("store_connection_lost", fields);
            call(edge, source, table, (after, Duration::ZERO)).await
        }
        read => read,
    }
}

/// One call: changes after a version, for which the store may wait, or all rows.
async fn call<S: StoreSource>(
    edge: &Rc<Edge>,
    source: &S,
    table: Table,
    (after, wait): (Option<StoreVersion>, Duration),
) -> Result<Option<StoreVersion>, SourceError> {
    let asked = clock::now();
    let Some(after) = after else {
        let StoreRows { version, rows, unreadable } = source.read_all(table).await?;
        edge.unreadable(name(table), &unreadable);
        let now = clock::now();
        up_to_date(edge, version)?;
        let mut steer = edge.steer.borrow_mut();
        if table == Table::Servers {
            steer.record_read_time(now.since(asked) / MILLI);
        }
        let changes = steer.on_full_read_at(now, asked, table, version, rows);
        drop(steer);
        edge.log_changes("store", &changes);
        return Ok(Some(version));
    };
    let Some(StoreRows { version, rows, unreadable }) = source.changes(table, after, wait).await?
    else {
        edge.event_log.write("store_history_gone", json!({"table": name(table)}));
        return Ok(None);
    };
    edge.unreadable(name(table), &unreadable);
    up_to_date(edge, version)?;
    let now = clock::now();
    // The store held its answer no longer than it was asked to.
    let moment = now.min(asked + wait.as_micros() as u64);
    let changes = edge.steer.borrow_mut().on_changes_at(now, moment, table, rows);
    edge.log_changes("store", &changes);
    Ok(Some(version))
}

/// An answer that left the store before it came back from a copy may come after that.
fn up_to_date(edge: &Edge, version: StoreVersion) -> Result<(), SourceError> {
    let known = edge.steer.borrow().era();
    match version.era < known {
        true => Err(SourceError::Outdated { era: version.era, known }),
        false => Ok(()),
    }
}
