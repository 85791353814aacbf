//! Reads the store's list of hosts and maintains it, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream_steer::host_registry::RegistryEdit;
use elmstreamd::clock;
use serde_json::json;

use crate::{Edge, SourceError, StoreSource, store_source::HostList};

/// Interval of the check for whether it is this host's turn.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Maintains the list until the process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    loop {
        compio::time::sleep(TURN_CHECK_INTERVAL).await;
        if !edge.steer.borrow().host_list_due(clock::now()) {
            continue;
        }
        metrics::counter!("elmstream_registry_looks").increment(1);
        if let Err(error) = update_list(&edge, &*source).await {
            edge.steer.borrow_mut().record_list_failure(clock::now());
            edge.event_log.write("registry_failed", json!({"error": error.to_string()}));
        }
    }
}

/// Reads the list, and edits it if this host maintains it.
async fn update_list<S: StoreSource>(edge: &Edge, source: &S) -> Result<(), SourceError> {
    let HostList { listed, unreadable } = source.hosts().await?;
    edge.log_unreadable_rows("hosts", &unreadable);
    let edit = edge.steer.borrow_mut().on_registered_hosts(clock::now(), &listed);
    if edit.is_empty() {
        return Ok(());
    }
    source.edit_hosts(&edit).await?;
    log_edit(edge, &edit);
    Ok(())
}

fn log_edit(edge: &Edge, edit: &RegistryEdit) {
    let fields = json!({"listed": edit.put.len(), "removed": edit.remove});
    edge.event_log.write("registry", fields);
}
