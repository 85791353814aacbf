//! Workspaces of a soak: the keys that callers present, and the limits and homes that are
//! checked.

use elmstream_steer::{key::KeyDigest, model::Workspace, settings::Bounds, tally};

/// Two workspaces without a limit, a limited one, and one whose home region has no servers.
pub const NAMES: [&str; 4] = ["red", "blue", "few", "away"];
/// The limited workspace, and its limit in requests a second.
pub const LIMITED_WORKSPACE: &str = "few";
const LIMITED_RATE_PER_S: f64 = 12.0;
/// The workspace whose requests cannot run anywhere.
pub const UNSERVED_WORKSPACE: &str = "away";
/// A region without servers.
const REGION_WITHOUT_SERVERS: &str = "b";
/// Number of configurations that contain a key, from the one that introduces it.
pub const KEY_LIFETIME_VERSIONS: u64 = 2;

/// Prefix of all keys.
pub const KEY_PREFIX: &str = "key-of-";

/// The key of a workspace that a configuration version introduces.
pub fn key(name: &str, version: u64) -> String {
    format!("{KEY_PREFIX}{name}-{version}")
}

/// Digest of a key.
pub fn key_digest(name: &str, version: u64) -> KeyDigest {
    KeyDigest::of(key(name, version).as_bytes())
}

/// The workspaces of a configuration. Each version introduces one key per workspace and
/// revokes one.
pub fn workspaces_of_version(version: u64) -> Vec<Workspace> {
    NAMES.map(|name| workspace(name, version)).into()
}

fn workspace(name: &str, version: u64) -> Workspace {
    let first = version.saturating_sub(KEY_LIFETIME_VERSIONS - 1);
    let keys = (first..=version).map(|version| key_digest(name, version));
    let rate_per_s = if name == LIMITED_WORKSPACE { LIMITED_RATE_PER_S } else { 0.0 };
    let homes = if name == UNSERVED_WORKSPACE {
        vec![REGION_WITHOUT_SERVERS.to_owned()]
    } else {
        Vec::new()
    };
    Workspace {
        name: name.into(),
        keys: keys.collect(),
        priority: None,
        rate_per_s,
        burst: rate_per_s,
        homes,
    }
}

/// Number of requests of the limited workspace allowed in any window, and the window's
/// length in milliseconds.
pub fn limited_window_bound() -> (usize, u64) {
    let bounds = Bounds::default();
    let limit = tally::window_limit(&bounds, &workspace(LIMITED_WORKSPACE, 1));
    let max_requests = limit * (1.0 + bounds.limit_overshoot) + bounds.limit_slack;
    (max_requests as usize, bounds.limit_window_s * 1_000)
}
