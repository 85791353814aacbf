//! Reads the store on behalf of the fleet, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_steer::{
    reader_rank, store_schedule::ReadReason, version::StoreVersion, view::Table,
};
use elmstreamd::clock;
use serde_json::json;

use crate::{SourceError, StoreSource, edge::Edge, store_source::StoreRows};

/// Interval of the check for whether it is this host's turn.
pub const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Longest age of a version from which changes are requested, in microseconds.
///
/// Backend servers write a row every second or two, and each write is a change. After this
/// time the changes outnumber the rows of the table, and may not arrive in time.
const CURSOR_AGE_MAX: u64 = 2 * SECOND;

/// The version up to which a table was read, and when.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    version: StoreVersion,
    read_at: Time,
}

/// Reads a table whenever it is due, until the process ends.
pub async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>, table: Table) {
    let mut cursor: Option<Cursor> = None;
    let mut failing_since: Option<Time> = None;
    loop {
        let now = clock::now();
        let Some(reason) = edge.steer.borrow().due_read(now, table) else {
            compio::time::sleep(TURN_CHECK_INTERVAL).await;
            continue;
        };
        let labels = [("table", table.name()), ("why", reason.name())];
        metrics::counter!("elmstream_store_calls", &labels).increment(1);
        let era = edge.steer.borrow().era();
        // The count of a version refers to other changes in another era.
        let after = cursor.filter(|cursor| {
            now.since(cursor.read_at) < CURSOR_AGE_MAX && cursor.version.era == era
        });
        match read_changes(&edge, &*source, table, after.map(|cursor| cursor.version)).await {
            Ok(version) => {
                cursor = version.map(|version| Cursor { version, read_at: clock::now() });
                // If the store has dropped the history, the next call reads the whole table.
                let Some(version) = version else { continue };
                edge.steer.borrow_mut().record_store_answer(table, reason, now, version);
                if let Some(since) = failing_since.take() {
                    log_recovery(&edge, table, reason, since);
                }
            }
            Err(error) => {
                metrics::counter!("elmstream_store_calls_failed", &labels).increment(1);
                if failing_since.is_none() {
                    log_failure(&edge, table, reason, now, &error);
                    failing_since = Some(clock::now());
                }
                edge.steer.borrow_mut().record_store_failure(clock::now(), table);
            }
        }
    }
}

/// Logs that the store answers this host again, and for how long it had not.
fn log_recovery(edge: &Rc<Edge>, table: Table, reason: ReadReason, since: Time) {
    let fields = json!({
        "table": table.name(), "why": reason.name(),
        "after_ms": clock::now().since(since) / MILLI,
    });
    edge.event_log.write("store_regained", fields);
}

/// Logs that a call failed: its reason and duration, and the age of what is known of the
/// table.
fn log_failure(
    edge: &Rc<Edge>,
    table: Table,
    reason: ReadReason,
    started_at: Time,
    error: &SourceError,
) {
    let now = clock::now();
    let steer = edge.steer.borrow();
    let age = steer.view().age(now, table).map(|age| age / MILLI);
    let fields = json!({
        "table": table.name(), "error": error.to_string(), "why": reason.name(),
        "kept": error.was_reused(),
        "took_ms": now.since(started_at) / MILLI, "age_ms": age,
        "hosts": steer.members().live(now).count() + 1,
    });
    edge.event_log.write("store_lost", fields);
}

/// Reads what is new; returns the version to continue from, or `None` to read the whole
/// table.
///
/// A reused connection may have stopped responding on all hosts at once while new ones work.
/// So a call that fails over one is repeated immediately, and only the failure of the second
/// call counts against the store.
async fn read_changes<S: StoreSource>(
    edge: &Rc<Edge>,
    source: &S,
    table: Table,
    after: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, SourceError> {
    let bound_ms = edge.settings.bounds.configuration_ms as f64;
    let wait = Duration::from_micros((bound_ms * reader_rank::LONG_POLL_FRACTION) as u64 * MILLI);
    match call_store(edge, source, table, (after, wait)).await {
        Err(SourceError::Unreachable { cause, reused: true }) => {
            metrics::counter!("elmstream_store_connections_lost").increment(1);
            let fields = json!({"table": table.name(), "error": cause});
            edge.event_log.write("store_connection_lost", fields);
            call_store(edge, source, table, (after, Duration::ZERO)).await
        }
        result => result,
    }
}

/// One call: reads the changes after a version, for which the store may wait, or all rows.
async fn call_store<S: StoreSource>(
    edge: &Rc<Edge>,
    source: &S,
    table: Table,
    (after, wait): (Option<StoreVersion>, Duration),
) -> Result<Option<StoreVersion>, SourceError> {
    let Some(after) = after else { return read_all(edge, source, table).await.map(Some) };
    let started_at = clock::now();
    let Some(StoreRows { version, rows, unreadable }) = source.changes(table, after, wait).await?
    else {
        edge.event_log.write("store_history_gone", json!({"table": table.name()}));
        return Ok(None);
    };
    edge.log_unreadable_rows(table.name(), &unreadable);
    check_era(edge, version)?;
    let now = clock::now();
    // The store delayed its response at most by the wait that was requested.
    let known_at = now.min(started_at + wait.as_micros() as u64);
    let changes = edge.steer.borrow_mut().on_changes_at(now, known_at, table, rows);
    edge.log_changes("store", &changes);
    Ok(Some(version))
}

/// Reads all rows of a table; returns the version that they reflect.
pub(crate) async fn read_all<S: StoreSource>(
    edge: &Edge,
    source: &S,
    table: Table,
) -> Result<StoreVersion, SourceError> {
    let started_at = clock::now();
    let StoreRows { version, rows, unreadable } = source.read_all(table).await?;
    edge.log_unreadable_rows(table.name(), &unreadable);
    let now = clock::now();
    check_era(edge, version)?;
    let mut steer = edge.steer.borrow_mut();
    if table == Table::Servers {
        steer.record_read_time(now.since(started_at) / MILLI);
    }
    let changes = steer.on_full_read_at(now, started_at, table, version, rows);
    drop(steer);
    edge.log_changes("store", &changes);
    Ok(version)
}

/// Rejects a response that the store sent before it was restored from a backup and that
/// arrives afterwards.
fn check_era(edge: &Edge, version: StoreVersion) -> Result<(), SourceError> {
    let known = edge.steer.borrow().era();
    match version.era < known {
        true => Err(SourceError::Outdated { era: version.era, known }),
        false => Ok(()),
    }
}
