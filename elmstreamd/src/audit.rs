//! The audit trail: who, when, revision, difference, result.
//!
//! One object per change, written in the background until the store takes it.

use std::{rc::Rc, time::Duration};

use elmstream_config::difference::Edit;
use serde::{Deserialize, Serialize};

use crate::{clock, configuration::Decision, daemon::Daemon, platform::PlatformError};

/// Prefix of the trail's objects.
const PREFIX: &str = "audit/";
/// First pause before a write is tried again.
const PAUSE_FIRST: Duration = Duration::from_millis(200);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(30);

/// One change in the trail.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// The revision that was made, or stood in the way.
    pub revision: u64,
    /// Who asked for the change.
    pub operator: String,
    /// When it was decided, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The number of the result's code.
    pub code: u16,
    /// What it changed, or would have.
    pub edits: Vec<Edit>,
}

/// Writes a change into the trail, in the background.
pub fn record(daemon: &Rc<Daemon>, operator: &str, decision: &Decision, edits: &[Edit]) {
    let entry = Entry {
        revision: decision.revision,
        operator: operator.to_owned(),
        unix_ms: clock::unix_ms(),
        code: decision.code.number(),
        edits: edits.to_vec(),
    };
    log::info!(operator, revision = entry.revision, code = entry.code; "a change was decided");
    let key = format!("{PREFIX}{:020}-{:016x}", entry.unix_ms, rand::random::<u64>());
    let Ok(bytes) = serde_json::to_vec(&entry) else { return };
    let daemon = daemon.clone();
    compio::runtime::spawn(async move {
        let mut pause = PAUSE_FIRST;
        while daemon.objects.put(&key, bytes.clone()).await.is_err() {
            compio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    })
    .detach();
}

/// Reads the newest entries, newest first.
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
