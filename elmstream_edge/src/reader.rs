//! Reads the store for the fleet, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream::time::{MILLI, Time};
use elmstream_steer::{readers, steer::Change, view::Table};
use elmstreamd::clock;
use serde_json::json;

use crate::{Source, SourceError, edge::Edge, source::Rows};

/// Pause between two looks at whether it is this host's turn.
const LOOK: Duration = Duration::from_millis(60);
/// Part of the bound on configurations that a call waits for changes.
const WAIT_PART: f64 = 0.3;

/// Reads a table until the process ends.
pub async fn run<S: Source>(edge: Rc<Edge>, source: Rc<S>, table: Table) {
    let mut cursor = None;
    let mut lost: Option<Time> = None;
    loop {
        let asked = clock::now();
        if !edge.steer.borrow().must_read(clock::now(), table) {
            compio::time::sleep(LOOK).await;
            continue;
        }
        match read(&edge, &*source, table, cursor).await {
            Ok(version) => {
                cursor = version;
                edge.steer.borrow_mut().store_serves(true);
                if let Some(since) = lost.take() {
                    regained(&edge, table, since);
                }
            }
            Err(error) => {
                edge.steer.borrow_mut().store_serves(false);
                if lost.is_none() {
                    lost_store(&edge, table, asked, &error);
                    lost = Some(clock::now());
                }
                let hosts = edge.steer.borrow().members().live(clock::now()).count();
                compio::time::sleep(Duration::from_micros(readers::pause(hosts + 1))).await;
            }
        }
    }
}

/// Writes that the store served this host's calls again, and for how long it had not.
fn regained(edge: &Rc<Edge>, table: Table, since: Time) {
    let after = clock::now().since(since) / MILLI;
    edge.journal.write("store_regained", json!({"table": format!("{table:?}"), "after_ms": after}));
}

/// Writes that a call failed, how long it took, and how old what is known of the table
/// has become meanwhile.
fn lost_store(edge: &Rc<Edge>, table: Table, asked: Time, error: &SourceError) {
    let now = clock::now();
    let steer = edge.steer.borrow();
    let age = steer.view().age(now, table).map(|age| age / MILLI);
    let fields = json!({
        "table": format!("{table:?}"), "error": error.to_string(), "kept": error.kept(),
        "took_ms": now.since(asked) / MILLI, "age_ms": age,
        "hosts": steer.members().live(now).count() + 1,
    });
    edge.journal.write("store_lost", fields);
}

/// One call; the version to go on from, or none to read all.
async fn read<S: Source>(
    edge: &Rc<Edge>,
    source: &S,
    table: Table,
    cursor: Option<u64>,
) -> Result<Option<u64>, SourceError> {
    metrics::counter!("elmstream_store_calls", "table" => format!("{table:?}")).increment(1);
    let Some(after) = cursor else {
        let asked = clock::now();
        let Rows { version, rows } = source.all(table).await?;
        let now = clock::now();
        let mut steer = edge.steer.borrow_mut();
        if table == Table::Servers {
            steer.store_read_in(now.since(asked) / MILLI);
        }
        let changes = steer.read_all(now, table, version, rows);
        drop(steer);
        learned(edge, &changes);
        return Ok(Some(version));
    };
    let bound = edge.settings.bounds.configuration_ms as f64;
    let wait = Duration::from_micros((bound * WAIT_PART) as u64 * MILLI);
    let Some(Rows { version, rows }) = source.changes(table, after, wait).await? else {
        edge.journal.write("store_history_gone", json!({"table": format!("{table:?}")}));
        return Ok(None);
    };
    let now = clock::now();
    let changes = edge.steer.borrow_mut().read(now, table, rows);
    learned(edge, &changes);
    Ok(Some(version))
}

fn learned(edge: &Rc<Edge>, changes: &[Change]) {
    edge.note("store", changes);
}
