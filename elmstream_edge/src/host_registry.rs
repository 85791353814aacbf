//! Looks at the store's list of hosts, and keeps it, when that is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream_steer::host_registry::RegistryEdit;
use elmstreamd::clock;
use serde_json::json;

use crate::{Edge, SourceError, StoreSource, store_source::HostList};

/// Pause between two looks at whether it is this host's turn.
const LOOK: Duration = Duration::from_millis(60);

/// Runs until the process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    loop {
        compio::time::sleep(LOOK).await;
        if !edge.steer.borrow().host_list_due(clock::now()) {
            continue;
        }
        metrics::counter!("elmstream_registry_looks").increment(1);
        if let Err(error) = look(&edge, &*source).await {
            edge.steer.borrow_mut().record_list_failure(clock::now());
            edge.event_log.write("registry_failed", json!({"error": error.to_string()}));
        }
    }
}

/// Reads the list, and changes it if that is this host's.
async fn look<S: StoreSource>(edge: &Edge, source: &S) -> Result<(), SourceError> {
    let HostList { listed, unreadable } = source.hosts().await?;
    edge.unreadable("hosts", &unreadable);
    let edit = edge.steer.borrow_mut().on_registered_hosts(clock::now(), &listed);
    if edit.is_empty() {
        return Ok(());
    }
    source.edit_hosts(&edit).await?;
    told(edge, &edit);
    Ok(())
}

fn told(edge: &Edge, edit: &RegistryEdit) {
    let fields = json!({"listed": edit.put.len(), "removed": edit.remove});
    edge.event_log.write("registry", fields);
}
