//! Authenticates requests: finds the workspace of a key, and decides whether the route admits the
//! request.

use std::rc::Rc;

use crate::{
    hash,
    key::KeyDigest,
    model::{Configuration, Route, Workspace},
};

/// The key that a request presents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PresentedKey {
    /// The request has no key.
    Absent,
    /// The digest of the request's key.
    Key(KeyDigest),
    /// The request has several keys, or a malformed one.
    Ambiguous,
}

/// Reasons to deny a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The route requires a key, and the request has none.
    Missing,
    /// No workspace has the key.
    Unknown,
    /// The request does not identify a single key.
    Ambiguous,
    /// The request would be denied, but this host's configuration may be outdated.
    Stale,
}

/// A workspace with the id that messages between hosts use for it.
#[derive(Debug)]
pub struct WorkspaceEntry {
    /// The workspace's configuration.
    pub workspace: Workspace,
    /// Hash of the workspace's name.
    pub id: u64,
}

/// Workspaces of a configuration, indexed by key and by id.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    /// Sorted by id.
    all: Vec<Rc<WorkspaceEntry>>,
    /// Each key with the index of its workspace in `all`, sorted by digest.
    keys: Vec<(KeyDigest, u32)>,
}

impl WorkspaceTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> WorkspaceTable {
        let entry = |workspace: &Workspace| {
            let id = hash::of(&workspace.name);
            Rc::new(WorkspaceEntry { workspace: workspace.clone(), id })
        };
        let mut all: Vec<Rc<WorkspaceEntry>> = configuration.workspaces.iter().map(entry).collect();
        all.sort_by_key(|entry| entry.id);
        let indexes = all.iter().zip(0u32..);
        let keys = indexes.flat_map(|(entry, index)| {
            entry.workspace.keys.iter().map(move |digest| (*digest, index))
        });
        let mut keys: Vec<(KeyDigest, u32)> = keys.collect();
        keys.sort_by_key(|(digest, index)| (digest.sort_key(), *index));
        WorkspaceTable { all, keys }
    }

    /// Whether there are no workspaces. Then no route requires a key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All workspaces.
    pub fn all(&self) -> impl Iterator<Item = &Rc<WorkspaceEntry>> {
        self.all.iter()
    }

    /// Returns a workspace by its id.
    pub fn get(&self, id: u64) -> Option<&Rc<WorkspaceEntry>> {
        let index = self.all.binary_search_by_key(&id, |entry| entry.id).ok()?;
        self.all.get(index)
    }

    /// Returns the workspace that has a key; `None` if no workspace or several have it.
    pub fn find(&self, digest: &KeyDigest) -> Option<&Rc<WorkspaceEntry>> {
        let begin = self.keys.partition_point(|(stored, _)| stored.sort_key() < digest.sort_key());
        let candidates =
            self.keys[begin..].iter().take_while(|(k, _)| k.sort_key() == digest.sort_key());
        let mut holders =
            candidates.filter(|(stored, _)| stored == digest).map(|(_, index)| *index);
        let first = holders.next()?;
        match holders.all(|other| other == first) {
            true => self.all.get(first as usize),
            false => None,
        }
    }

    /// Finds the workspace of a request; `None` if the route is open and the request has no key
    /// that identifies a workspace, or if there are no workspaces.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is denied. It is [`Denial::Stale`] unless `can_deny` is
    /// set, which means that this host's configuration is certain to be current. Without it,
    /// an unknown key is denied on open routes too.
    pub fn authenticate(
        &self,
        route: &Route,
        presented: PresentedKey,
        can_deny: bool,
    ) -> Result<Option<Rc<WorkspaceEntry>>, Denial> {
        if self.is_empty() {
            return Ok(None);
        }
        let denial = match presented {
            PresentedKey::Key(digest) => match self.find(&digest) {
                Some(entry) => return Ok(Some(Rc::clone(entry))),
                None => Denial::Unknown,
            },
            PresentedKey::Absent => Denial::Missing,
            PresentedKey::Ambiguous => Denial::Ambiguous,
        };
        match (route.open, can_deny) {
            // A newer configuration may have the key; then its workspace's homes and limit apply.
            (true, false) if denial == Denial::Unknown => Err(Denial::Stale),
            (true, _) => Ok(None),
            (false, true) => Err(denial),
            (false, false) => Err(Denial::Stale),
        }
    }
}
