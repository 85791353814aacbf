//! The workspaces of a soak: what callers show, and what backend servers check.

use elmstream_steer::{key::KeyDigest, model::Workspace, settings::Bounds, tally};

/// Workspaces without a limit, the limited one, and one whose homes have no servers.
pub const NAMES: [&str; 4] = ["red", "blue", "few", "away"];
/// The limited one, and its requests a second.
pub const LIMITED: &str = "few";
const RATE: f64 = 12.0;
/// The one whose requests can run nowhere.
pub const AWAY: &str = "away";
/// Region in which there is no server.
const NOWHERE: &str = "b";
/// Versions for which a key is held from the one on that brings it.
pub const HELD: u64 = 2;

/// How each key begins.
pub const KEY_BEGINS: &str = "key-of-";

/// The key of a workspace that a configuration brings.
pub fn key(name: &str, version: u64) -> String {
    format!("{KEY_BEGINS}{name}-{version}")
}

/// The workspaces of a configuration: each version brings a key, and takes one away.
pub fn of(version: u64) -> Vec<Workspace> {
    NAMES.map(|name| workspace(name, version)).into()
}

fn workspace(name: &str, version: u64) -> Workspace {
    let first = version.saturating_sub(HELD - 1);
    let keys = (first..=version).map(|version| KeyDigest::of(key(name, version).as_bytes()));
    let limited = if name == LIMITED { RATE } else { 0.0 };
    let homes = if name == AWAY { vec![NOWHERE.to_owned()] } else { Vec::new() };
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
pub fn bound() -> (usize, u64) {
    let bounds = Bounds::default();
    let limit = tally::window_limit(&bounds, &workspace(LIMITED, 1));
    let most = limit * (1.0 + bounds.limit_overshoot) + bounds.limit_slack;
    (most as usize, bounds.limit_window_s * 1_000)
}
