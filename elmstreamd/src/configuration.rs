//! Configuration changes: acceptance, propagation to other hosts, and the revision in force.
//!
//! The head row `config/head` names the newest revision. The document of a revision is an object in
//! the object store that never changes. A change is accepted by a compare-and-swap of the head row,
//! and counts as accepted once a read of the row shows this host's change in it.

use std::{collections::HashSet, rc::Rc, sync::Arc, time::Duration};

use elmstream::{code::Code, id::Name, steward::WriteOutcome};
use elmstream_config::{
    Configuration, compile,
    difference::{self, Edit},
};
use elmstream_proto::peer::{Open, Push, Pushed, Reply, Revision};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::{audit, clock, daemon::Daemon, platform::VersionedRow};

/// Key of the head row in the table service.
const HEAD_KEY: &str = "config/head";
/// Hosts to which each host of the push tree forwards a push.
const PUSH_FANOUT: usize = 8;
/// Timeout of a push for each level of the tree below the sender, and of a fetch.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Rounds in which a revision is pushed, each to the hosts that have not confirmed it yet.
const PUSH_ROUNDS: u32 = 5;
/// Pause between two push rounds.
const PUSH_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Most changes that the head row lists, the newest included.
const RECENT_CHANGES_MAX: usize = 16;
/// Attempts to find out whether a write of the head row took effect.
const RESOLVE_ATTEMPTS: u32 = 5;
/// Pause between two of these attempts.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// The configuration in force on this host.
#[derive(Debug, Default)]
pub struct Current {
    /// Revision number; 0 if no configuration is in force yet.
    pub revision: u64,
    /// The configuration; empty at revision 0.
    pub configuration: Rc<Configuration>,
}

/// An accepted change, as the head row lists it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Revision that the change created.
    pub revision: u64,
    /// Random number that identifies the write, so that a host recognises its own change.
    pub nonce: u64,
}

/// Value of the head row.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The newest revision; 0 if there is none.
    pub revision: u64,
    /// Key of the object with the document of this revision.
    pub object: String,
    /// The most recent changes, newest first.
    pub recent: Vec<Change>,
}

/// Result of a requested change.
#[derive(Clone, Debug)]
pub struct Decision {
    /// [`Code::Ok`] if the change was accepted, else why not.
    pub code: Code,
    /// Revision that was accepted, or that the change conflicted with; 0 if not known.
    pub revision: u64,
    /// Explanation for the operator.
    pub message: String,
}

impl Decision {
    /// Creates a decision with the text of `code` as its message.
    pub fn new(code: Code, revision: u64) -> Decision {
        Decision { code, revision, message: code.text().to_owned() }
    }
}

/// Proposes `next` as the revision after `expected`, installs and pushes it if it is accepted, and
/// records the decision in the audit trail.
pub async fn apply(
    daemon: &Rc<Daemon>,
    operator: &str,
    expected: u64,
    next: Configuration,
) -> Decision {
    let decision = decide(daemon, expected, &next).await;
    let accepted = decision.code == Code::Ok;
    let old = daemon.current.borrow().configuration.clone();
    let edits = difference::difference(&old, &next);
    if accepted {
        install(daemon, decision.revision, next);
        push(daemon, decision.revision, &edits);
    }
    audit::record(daemon, operator, &decision, &edits);
    decision
}

/// Stores the document and tries to make it the newest revision.
async fn decide(daemon: &Rc<Daemon>, expected: u64, next: &Configuration) -> Decision {
    let Ok(stored) = daemon.table.read(HEAD_KEY).await else {
        return Decision::new(Code::TableUnavailable, 0);
    };
    let Some((head, version)) = parse_head(stored) else {
        return Decision::new(Code::ConfigurationTable, 0);
    };
    if head.revision != expected {
        return Decision::new(Code::RevisionConflict, head.revision);
    }
    let change = Change { revision: expected + 1, nonce: rand::random() };
    let object = format!("config/{:020}-{:016x}", change.revision, change.nonce);
    if daemon.objects.put(&object, next.to_text().into_bytes()).await.is_err() {
        return Decision::new(Code::StoreUnavailable, expected);
    }
    let mut recent = vec![change.clone()];
    recent.extend(head.recent.into_iter().take(RECENT_CHANGES_MAX - 1));
    let head = Head { revision: change.revision, object, recent };
    swap_head(daemon, &head, version, &change).await
}

/// Swaps the head row, and resolves a write of unknown outcome by the nonce of its change.
async fn swap_head(daemon: &Rc<Daemon>, head: &Head, expect: u64, change: &Change) -> Decision {
    let Ok(value) = serde_json::to_value(head) else {
        return Decision::new(Code::ChangeInvalid, 0);
    };
    let mut refused_only = true;
    for _ in 0..RESOLVE_ATTEMPTS {
        let outcome = daemon.table.write(HEAD_KEY, &value, expect).await;
        refused_only &= outcome == WriteOutcome::Refused;
        match daemon.table.read(HEAD_KEY).await.ok().and_then(parse_head) {
            Some((stored, _)) if stored.recent.contains(change) => {
                return Decision::new(Code::Ok, change.revision);
            }
            // The row has another version than the swap expects, so the swap can no longer succeed.
            Some((stored, version)) if version != expect => {
                let lost = stored.recent.iter().any(|c| c.revision == change.revision);
                let code = if lost { Code::RevisionConflict } else { Code::ChangeUnknown };
                return Decision::new(code, stored.revision);
            }
            // The write has not taken effect yet. It is repeated rather than given up, as it may
            // still arrive late, and the change must then not have been reported as refused.
            _ => compio::time::sleep(RESOLVE_PAUSE).await,
        }
    }
    let code = if refused_only { Code::TableUnavailable } else { Code::ChangeUnknown };
    Decision::new(code, expect)
}

/// Parses the head row; returns it with its version. A missing row counts as revision 0, version 0.
fn parse_head(stored: Option<VersionedRow>) -> Option<(Head, u64)> {
    match stored {
        None => Some((Head::default(), 0)),
        Some(row) => Some((serde_json::from_value(row.value).ok()?, row.version)),
    }
}

/// Puts a revision in force on this host if it is higher than the one in force; returns whether it
/// did.
pub fn install(daemon: &Daemon, revision: u64, configuration: Configuration) -> bool {
    if revision <= daemon.current.borrow().revision {
        return false;
    }
    let catalog = Arc::new(compile::compile(&configuration, revision));
    let installed = daemon.node.borrow_mut().set_catalog(clock::now(), catalog);
    if installed {
        let configuration = Rc::new(configuration);
        *daemon.current.borrow_mut() = Current { revision, configuration };
        daemon.check_domain();
        log::info!(revision; "a configuration is in force");
    }
    installed
}

/// How far the last revision that was accepted on this host has reached other hosts.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    /// Revision number; 0 if none was accepted here.
    pub revision: u64,
    /// Hosts that have confirmed that the revision is in force there, this one included.
    pub confirmed: HashSet<Name>,
}

impl Propagation {
    /// Adds hosts that confirmed a revision; returns whether it is still the last one.
    fn add_confirmed(&mut self, revision: u64, hosts: Vec<Name>) -> bool {
        let is_last = self.revision == revision;
        if is_last {
            self.confirmed.extend(hosts);
        }
        is_last
    }
}

/// Pushes a revision along a tree to all hosts that may be live, and repeats it for those that did
/// not confirm it.
fn push(daemon: &Rc<Daemon>, revision: u64, edits: &[Edit]) {
    let edits: Rc<str> = serde_json::to_string(edits).unwrap_or_default().into();
    let daemon = daemon.clone();
    let here = daemon.settings.name.as_str().into();
    *daemon.propagation.borrow_mut() = Propagation { revision, confirmed: HashSet::from([here]) };
    compio::runtime::spawn(async move {
        for _ in 0..PUSH_ROUNDS {
            // The set of live hosts may have changed since the last round.
            let mut hosts = daemon.live_peers();
            hosts.retain(|name| !daemon.propagation.borrow().confirmed.contains(name));
            let missing = push_to_hosts(&daemon, revision, &edits, &hosts).await;
            hosts.retain(|name| !missing.contains(name));
            if !daemon.propagation.borrow_mut().add_confirmed(revision, hosts) {
                return;
            }
            compio::time::sleep(PUSH_ROUND_PAUSE).await;
        }
    })
    .detach();
}

/// Sends a push to the first few hosts, each with a share of the others to forward it to. Returns
/// the hosts that did not confirm it.
async fn push_to_hosts(
    daemon: &Rc<Daemon>,
    revision: u64,
    edits: &str,
    hosts: &[Name],
) -> Vec<Name> {
    let branch_count = hosts.len().min(PUSH_FANOUT);
    let branches = hosts[..branch_count].iter().enumerate().map(|(index, root)| {
        let below = hosts[branch_count..].iter().skip(index).step_by(PUSH_FANOUT);
        let push = Push { revision, edits: edits.to_owned(), forward_to: below.cloned().collect() };
        push_to_branch(daemon, root, push)
    });
    join_all(branches).await.concat()
}

/// Sends a push to the root of a branch. If the root does not answer, pushes to the hosts below it
/// directly. Returns the hosts of the branch that did not confirm the push.
async fn push_to_branch(daemon: &Rc<Daemon>, root: &Name, push: Push) -> Vec<Name> {
    let Some(address) = daemon.peer_address(root) else { return vec![root.clone()] };
    let within = PUSH_TIMEOUT * levels(push.forward_to.len());
    let open = Open::Push(push);
    let reply = daemon.peers.exchange(root, address, &open, within).await;
    let Open::Push(Push { revision, edits, forward_to: below }) = open else { return Vec::new() };
    match reply {
        Ok(Reply::Pushed(pushed)) => {
            let mut missing = pushed.missing;
            missing.extend((pushed.revision < revision).then(|| root.clone()));
            missing
        }
        _ => {
            log::warn!(host:% = root; "no answer to a configuration push");
            let mut missing = Box::pin(push_to_hosts(daemon, revision, &edits, &below)).await;
            missing.push(root.clone());
            missing
        }
    }
}

/// Levels of the push tree, given the number of hosts below its root.
fn levels(below: usize) -> u32 {
    let mut levels = 1;
    let mut remaining = below;
    while remaining > 0 {
        levels += 1;
        remaining = remaining.saturating_sub(PUSH_FANOUT) / PUSH_FANOUT;
    }
    levels
}

/// Handles a push from another host, forwards it, and waits for the replies to that.
///
/// If the pushed revision directly follows the one in force, its edits are applied. If it is a
/// later one, or its edits cannot be applied, the whole configuration is read from the platform or
/// another host instead.
pub async fn handle_push(daemon: &Rc<Daemon>, push: Push) -> Pushed {
    let (revision, configuration) = {
        let current = daemon.current.borrow();
        (current.revision, current.configuration.clone())
    };
    let edits: Option<Vec<Edit>> = serde_json::from_str(&push.edits).ok();
    let follows = push.revision == revision + 1;
    let next = edits.filter(|_| follows);
    match next.and_then(|edits| difference::apply(&configuration, &edits).ok()) {
        Some(next) => drop(install(daemon, push.revision, next)),
        None if push.revision > revision => daemon.request_poll(),
        None => {}
    }
    let missing = push_to_hosts(daemon, push.revision, &push.edits, &push.forward_to).await;
    Pushed { revision: daemon.current.borrow().revision, missing }
}

/// Reads the head row and installs its revision if that is higher than the one in force.
///
/// Returns whether this host is known to be at the revision of the head row, or a higher one.
pub async fn poll(daemon: &Daemon) -> bool {
    let Some((head, _)) = daemon.table.read(HEAD_KEY).await.ok().and_then(parse_head) else {
        return false;
    };
    if head.revision <= daemon.current.borrow().revision {
        daemon.node.borrow_mut().confirm_revision(clock::now());
        return true;
    }
    let Ok(Some(bytes)) = daemon.objects.get(&head.object).await else { return false };
    match Configuration::parse(&String::from_utf8_lossy(&bytes)) {
        Ok(configuration) => install(daemon, head.revision, configuration),
        Err(error) => {
            log::error!(error:% = error, object = head.object; "a stored configuration is invalid");
            false
        }
    }
}

/// Fetches the configuration in force on each of the hosts in `from`, and installs the highest
/// revision.
pub async fn fetch(daemon: &Daemon, from: &[Name]) {
    for name in from {
        let Some(address) = daemon.peer_address(name) else { continue };
        let reply = daemon.peers.exchange(name, address, &Open::Fetch, PUSH_TIMEOUT).await;
        let Ok(Reply::Configuration(Some(Revision { revision, document }))) = reply else {
            continue;
        };
        if let Ok(configuration) = Configuration::parse(&document) {
            install(daemon, revision, configuration);
        }
    }
}
