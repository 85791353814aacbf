//! Audit trail of configuration changes: operator, time, revision, difference and result.
//!
//! Each change is one object in the object store. It is written in the background and retried
//! until the store accepts it.

use std::{rc::Rc, time::Duration};

use elmstream_config::difference::Edit;
use serde::{Deserialize, Serialize};

use crate::{clock, configuration::Decision, daemon::Daemon, platform::PlatformError};

/// Key prefix of the audit objects.
const PREFIX: &str = "audit/";
/// Pause before the first retry of a write; it doubles with each retry.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest pause between two retries of a write.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(30);

/// A configuration change in the audit trail, stored as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Revision that the change created, or that it conflicted with.
    pub revision: u64,
    /// Operator who requested the change.
    pub operator: String,
    /// When the change was decided, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Number of the result code; 0 for an accepted change.
    pub code: u16,
    /// Edits to the configuration in force, also of a change that was refused.
    pub edits: Vec<Edit>,
}

/// Writes an entry for a decided change, in the background.
pub fn record(daemon: &Rc<Daemon>, operator: &str, decision: &Decision, edits: &[Edit]) {
    let entry = Entry {
        revision: decision.revision,
        operator: operator.to_owned(),
        unix_ms: clock::unix_ms(),
        code: decision.code.number(),
        edits: edits.to_vec(),
    };
    log::info!(operator, revision = entry.revision, code = entry.code; "configuration change decided");
    let key = format!("{PREFIX}{:020}-{:016x}", entry.unix_ms, rand::random::<u64>());
    let Ok(bytes) = serde_json::to_vec(&entry) else { return };
    let daemon = daemon.clone();
    compio::runtime::spawn(async move {
        let mut pause = RETRY_PAUSE_MIN;
        while daemon.objects.put(&key, bytes.clone()).await.is_err() {
            compio::time::sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE_MAX);
        }
    })
    .detach();
}

/// Reads at most `limit` entries, newest first. Entries that cannot be parsed are left out.
pub async fn read(daemon: &Daemon, limit: usize) -> Result<Vec<Entry>, PlatformError> {
    let mut entries = Vec::new();
    let keys = daemon.objects.list(PREFIX).await?;
    for key in keys.iter().rev().take(limit) {
        let Some(bytes) = daemon.objects.get(key).await? else { continue };
        if let Ok(entry) = serde_json::from_slice(&bytes) {
            entries.push(entry);
        }
    }
    Ok(entries)
}
