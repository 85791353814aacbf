//! The configuration: acceptance, spread, and the one in force.
//!
//! The head row `config/head` names the newest revision; its document lies in
//! the object store and never changes. A change is accepted once the swap of
//! the head row has been read back as ours.

use std::{collections::HashSet, rc::Rc, sync::Arc, time::Duration};

use elmstream::{code::Code, id::Name, steward::WriteOutcome};
use elmstream_config::{
    Configuration, compile,
    difference::{self, Edit},
};
use elmstream_proto::peer::{Open, Push, Pushed, Reply, Revision};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::{audit, clock, daemon::Daemon, platform::Versioned};

/// The key of the head row.
const HEAD: &str = "config/head";
/// Hosts that a host passes a push on to.
const PUSH_FANOUT: usize = 8;
/// Time for a push at each level of the tree, and for a fetch.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Rounds in which a revision is pushed to hosts that did not answer.
const PUSH_TRIES: u32 = 5;
/// Pause between two of them.
const PUSH_PAUSE: Duration = Duration::from_millis(500);
/// Former changes that the head row names.
const RECENT: usize = 16;
/// Tries to learn what became of a write.
const RESOLVE_TRIES: u32 = 5;
/// Pause between two of them.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// The configuration in force on this host.
#[derive(Debug, Default)]
pub struct Current {
    /// Its revision; 0 is none.
    pub revision: u64,
    /// The configuration.
    pub configuration: Rc<Configuration>,
}

/// One accepted change, as the head row remembers it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// Names the write.
    pub nonce: u64,
}

/// The head row.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The newest revision.
    pub revision: u64,
    /// The object that holds its document.
    pub object: String,
    /// The last changes, newest first.
    pub recent: Vec<Change>,
}

/// What became of a change.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Success, conflict or another code.
    pub code: Code,
    /// The revision accepted, or the one that the change lost to.
    pub revision: u64,
    /// More to be said.
    pub message: String,
}

impl Decision {
    /// A decision with the code's own text.
    pub fn of(code: Code, revision: u64) -> Decision {
        Decision { code, revision, message: code.text().to_owned() }
    }
}

/// Tries to make `next` the revision after `expected`.
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
        take(daemon, decision.revision, next);
        push(daemon, decision.revision, &edits);
    }
    audit::record(daemon, operator, &decision, &edits);
    decision
}

async fn decide(daemon: &Rc<Daemon>, expected: u64, next: &Configuration) -> Decision {
    let Ok(stored) = daemon.table.read(HEAD).await else {
        return Decision::of(Code::TableUnavailable, 0);
    };
    let Some((head, version)) = parse_head(stored) else {
        return Decision::of(Code::ConfigurationTable, 0);
    };
    if head.revision != expected {
        return Decision::of(Code::RevisionConflict, head.revision);
    }
    let change = Change { revision: expected + 1, nonce: rand::random() };
    let object = format!("config/{:020}-{:016x}", change.revision, change.nonce);
    if daemon.objects.put(&object, next.to_text().into_bytes()).await.is_err() {
        return Decision::of(Code::StoreUnavailable, expected);
    }
    let mut recent = vec![change.clone()];
    recent.extend(head.recent.into_iter().take(RECENT - 1));
    let head = Head { revision: change.revision, object, recent };
    swap(daemon, &head, version, &change).await
}

/// Swaps the head row and resolves what became of it by its nonce.
async fn swap(daemon: &Rc<Daemon>, head: &Head, expect: u64, change: &Change) -> Decision {
    let Ok(value) = serde_json::to_value(head) else {
        return Decision::of(Code::ChangeInvalid, 0);
    };
    let mut refused_only = true;
    for _ in 0..RESOLVE_TRIES {
        let outcome = daemon.table.write(HEAD, &value, expect).await;
        refused_only &= outcome == WriteOutcome::Refused;
        match daemon.table.read(HEAD).await.ok().and_then(parse_head) {
            Some((now, _)) if now.recent.contains(change) => {
                return Decision::of(Code::Ok, change.revision);
            }
            // Another change stands on our place, so ours never will.
            Some((now, version)) if version != expect => {
                let lost = now.recent.iter().any(|c| c.revision == change.revision);
                let code = if lost { Code::RevisionConflict } else { Code::ChangeUnknown };
                return Decision::of(code, now.revision);
            }
            // The write has not taken effect yet; the same one is tried again,
            // since a late one may still arrive and must not be denied.
            _ => compio::time::sleep(RESOLVE_PAUSE).await,
        }
    }
    let code = if refused_only { Code::TableUnavailable } else { Code::ChangeUnknown };
    Decision::of(code, expect)
}

/// The head row and its version; no row is revision 0.
fn parse_head(stored: Option<Versioned>) -> Option<(Head, u64)> {
    match stored {
        None => Some((Head::default(), 0)),
        Some(row) => Some((serde_json::from_value(row.value).ok()?, row.version)),
    }
}

/// Takes a revision if it is higher than the one in force.
pub fn take(daemon: &Daemon, revision: u64, configuration: Configuration) -> bool {
    if revision <= daemon.current.borrow().revision {
        return false;
    }
    let catalog = Arc::new(compile::compile(&configuration, revision));
    let taken = daemon.node.borrow_mut().set_catalog(clock::now(), catalog);
    if taken {
        let configuration = Rc::new(configuration);
        *daemon.current.borrow_mut() = Current { revision, configuration };
        daemon.check_domain();
        log::info!(revision; "a configuration is in force");
    }
    taken
}

/// What is known of how far a revision has spread from this host.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// The revision; 0 is none.
    pub revision: u64,
    /// Hosts that have said that it is in force there.
    pub taken: HashSet<Name>,
}

impl Spread {
    /// Notes hosts that took a revision; tells whether it is still the last.
    fn took(&mut self, revision: u64, hosts: Vec<Name>) -> bool {
        let is_last = self.revision == revision;
        if is_last {
            self.taken.extend(hosts);
        }
        is_last
    }
}

/// Spreads a revision over the hosts that may be live, along a tree, and again
/// to those that did not answer.
fn push(daemon: &Rc<Daemon>, revision: u64, edits: &[Edit]) {
    let edits: Rc<str> = serde_json::to_string(edits).unwrap_or_default().into();
    let daemon = daemon.clone();
    let here = daemon.settings.name.as_str().into();
    *daemon.spread.borrow_mut() = Spread { revision, taken: HashSet::from([here]) };
    compio::runtime::spawn(async move {
        for _ in 0..PUSH_TRIES {
            // The host list may name others by now.
            let mut hosts = daemon.live_peers();
            hosts.retain(|name| !daemon.spread.borrow().taken.contains(name));
            let missing = pass_on(&daemon, revision, &edits, &hosts).await;
            hosts.retain(|name| !missing.contains(name));
            if !daemon.spread.borrow_mut().took(revision, hosts) {
                return;
            }
            compio::time::sleep(PUSH_PAUSE).await;
        }
    })
    .detach();
}

/// Sends a push to a few hosts, each with a part of the others to pass it to;
/// gives those that did not say that they took it.
async fn pass_on(daemon: &Rc<Daemon>, revision: u64, edits: &str, hosts: &[Name]) -> Vec<Name> {
    let heads = hosts.len().min(PUSH_FANOUT);
    let branches = hosts[..heads].iter().enumerate().map(|(index, head)| {
        let below = hosts[heads..].iter().skip(index).step_by(PUSH_FANOUT);
        let push = Push { revision, edits: edits.to_owned(), forward_to: below.cloned().collect() };
        push_to(daemon, head, push)
    });
    join_all(branches).await.concat()
}

/// Sends one push; if the host does not answer, passes it on in its place.
async fn push_to(daemon: &Rc<Daemon>, head: &Name, push: Push) -> Vec<Name> {
    let Some(address) = daemon.peer_address(head) else { return vec![head.clone()] };
    let within = PUSH_TIMEOUT * levels(push.forward_to.len());
    let open = Open::Push(push);
    let reply = daemon.peers.exchange(head, address, &open, within).await;
    let Open::Push(Push { revision, edits, forward_to: below }) = open else { return Vec::new() };
    match reply {
        Ok(Reply::Pushed(pushed)) => {
            let mut missing = pushed.missing;
            missing.extend((pushed.revision < revision).then(|| head.clone()));
            missing
        }
        _ => {
            log::warn!(host:% = head; "a push did not arrive");
            let mut missing = Box::pin(pass_on(daemon, revision, &edits, &below)).await;
            missing.push(head.clone());
            missing
        }
    }
}

/// Levels of the tree from a host that passes a push on to so many.
fn levels(below: usize) -> u32 {
    let mut levels = 1;
    let mut left = below;
    while left > 0 {
        levels += 1;
        left = left.saturating_sub(PUSH_FANOUT) / PUSH_FANOUT;
    }
    levels
}

/// Takes a push: its difference if it follows on the revision in force, else
/// the whole from the table or a peer. Passes it on and waits for the answers.
pub async fn pushed(daemon: &Rc<Daemon>, push: Push) -> Pushed {
    let (revision, configuration) = {
        let current = daemon.current.borrow();
        (current.revision, current.configuration.clone())
    };
    let edits: Option<Vec<Edit>> = serde_json::from_str(&push.edits).ok();
    let follows = push.revision == revision + 1;
    let next = edits.filter(|_| follows);
    match next.and_then(|edits| difference::apply(&configuration, &edits).ok()) {
        Some(next) => drop(take(daemon, push.revision, next)),
        None if push.revision > revision => daemon.want_revision(),
        None => {}
    }
    let missing = pass_on(daemon, push.revision, &push.edits, &push.forward_to).await;
    Pushed { revision: daemon.current.borrow().revision, missing }
}

/// Reads the head row and takes what it names, if that is higher.
///
/// Tells whether the table was heard.
pub async fn poll(daemon: &Daemon) -> bool {
    let Some((head, _)) = daemon.table.read(HEAD).await.ok().and_then(parse_head) else {
        return false;
    };
    if head.revision <= daemon.current.borrow().revision {
        daemon.node.borrow_mut().confirm_revision(clock::now());
        return true;
    }
    let Ok(Some(bytes)) = daemon.objects.get(&head.object).await else { return false };
    match Configuration::parse(&String::from_utf8_lossy(&bytes)) {
        Ok(configuration) => take(daemon, head.revision, configuration),
        Err(error) => {
            log::error!(error:% = error, object = head.object; "a stored configuration is bad");
            false
        }
    }
}

/// Asks live hosts for the configuration in force there, and takes the highest.
pub async fn fetch(daemon: &Daemon, from: &[Name]) {
    for name in from {
        let Some(address) = daemon.peer_address(name) else { continue };
        let reply = daemon.peers.exchange(name, address, &Open::Fetch, PUSH_TIMEOUT).await;
        let Ok(Reply::Configuration(Some(Revision { revision, document }))) = reply else {
            continue;
        };
        if let Ok(configuration) = Configuration::parse(&document) {
            take(daemon, revision, configuration);
        }
    }
}
