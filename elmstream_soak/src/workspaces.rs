//! The workspaces of a soak: what callers show, and what backend servers check.

use elmstream_steer::{key::KeyDigest, model::Workspace, settings::Bounds, tally};

/// Workspaces without a limit, the limited one, and one whose homes have no servers.
pub const NAMES: [&str; 4] = ["red", "blue", "few", "away"];
/// The limited one, and its requests a second.
pub const LIMITED_WORKSPACE: &str = "few";
const RATE: f64 = 12.0;
/// The one whose requests can run nowhere.
pub const UNSERVED_WORKSPACE: &str = "away";
/// Region in which there is no server.
const NOWHERE: &str = "b";
/// Versions for which a key is held from the one on that brings it.
pub const KEY_LIFETIME_VERSIONS: u64 = 2;

/// How each key begins.
pub const KEY_PREFIX: &str = "key-of-";

/// The key of a workspace that a configuration brings.
pub fn key(name: &str, version: u64) -> String {
    format!("{KEY_PREFIX}{name}-{version}")
}

/// The workspaces of a configuration: each version brings a key, and takes one away.
pub fn workspaces_of_version(version: u64) -> Vec<Workspace> {
    NAMES.map(|name| workspace(name, version)).into()
}

fn workspace(name: &str, version: u64) -> Workspace {
    let first = version.saturating_sub(KEY_LIFETIME_VERSIONS - 1);
    let keys = (first..=version).map(|version| KeyDigest::of(key(name, version).as_bytes()));
    let limited = if name == LIMITED_WORKSPACE { RATE } else { 0.0 };
    let homes = if name == UNSERVED_WORKSPACE { vec![NOWHERE.to_owned()] } else { Vec::new() };
    Workspace {
        name: name.into(),
        keys: keys.collect(),
        priority: None,
        rate_per_s: limited,
        burst: limited,
        homes,
    }
}

/// Requests of the limited workspace that any window may hold, and the window in
/// milliseconds.
pub fn limited_window_bound() -> (usize, u64) {
    let bounds = Bounds::default();
    let limit = tally::limit(&bounds, &workspace(LIMITED_WORKSPACE, 1));
    let most = limit * (1.0 + bounds.limit_overshoot) + bounds.limit_slack;
    (most as usize, bounds.limit_window_s * 1_000)
}
