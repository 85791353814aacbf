//! Which workspace a request belongs to, and whether its route lets it in.

use std::rc::Rc;

use crate::{
    hash,
    key::KeyDigest,
    model::{Configuration, Route, Workspace},
};

/// What a request shows of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PresentedKey {
    /// Nothing.
    Absent,
    /// A key.
    Key(KeyDigest),
    /// Several, or what cannot be read as one.
    Ambiguous,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The route asks for a key, and there is none.
    Missing,
    /// No workspace has the key.
    Unknown,
    /// It is not clear which key is meant.
    Ambiguous,
    /// One of these, but a newer configuration may say otherwise.
    Stale,
}

/// A workspace, and what it goes by in messages between hosts.
#[derive(Debug)]
pub struct WorkspaceEntry {
    /// As it is configured.
    pub workspace: Workspace,
    /// Hash of its name.
    pub id: u64,
}

/// Workspaces of a configuration, by key and by id.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    /// In the order of ids.
    all: Vec<Rc<WorkspaceEntry>>,
    /// Each key and the place of its workspace in `all`, in the order of digests.
    keys: Vec<(KeyDigest, u32)>,
}

impl WorkspaceTable {
    /// The workspaces of a configuration.
    pub fn new(configuration: &Configuration) -> WorkspaceTable {
        let member = |workspace: &Workspace| {
            let id = hash::of(&workspace.name);
            Rc::new(WorkspaceEntry { workspace: workspace.clone(), id })
        };
        let mut all: Vec<Rc<WorkspaceEntry>> =
            configuration.workspaces.iter().map(member).collect();
        all.sort_by_key(|member| member.id);
        let places = all.iter().zip(0u32..);
        let keys = places.flat_map(|(member, place)| {
            member.workspace.keys.iter().map(move |digest| (*digest, place))
        });
        let mut keys: Vec<(KeyDigest, u32)> = keys.collect();
        keys.sort_by_key(|(digest, place)| (digest.sort_key(), *place));
        WorkspaceTable { all, keys }
    }

    /// Whether there are none, so that no route asks for a key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All workspaces.
    pub fn all(&self) -> impl Iterator<Item = &Rc<WorkspaceEntry>> {
        self.all.iter()
    }

    /// A workspace by its id.
    pub fn get(&self, id: u64) -> Option<&Rc<WorkspaceEntry>> {
        let at = self.all.binary_search_by_key(&id, |member| member.id).ok()?;
        self.all.get(at)
    }

    /// The workspace that holds a key; none if several do.
    pub fn find(&self, digest: &KeyDigest) -> Option<&Rc<WorkspaceEntry>> {
        let begin = self.keys.partition_point(|(known, _)| known.sort_key() < digest.sort_key());
        let alike =
            self.keys[begin..].iter().take_while(|(k, _)| k.sort_key() == digest.sort_key());
        let mut holders = alike.filter(|(known, _)| known == digest).map(|(_, place)| *place);
        let first = holders.next()?;
        match holders.all(|other| other == first) {
            true => self.all.get(first as usize),
            false => None,
        }
    }

    /// The workspace of a request; none if its route is open and no key says so.
    ///
    /// # Errors
    ///
    /// The request is not let in; `sure` says whether nothing newer can be known.
    pub fn authenticate(
        &self,
        route: &Route,
        shown: PresentedKey,
        sure: bool,
    ) -> Result<Option<Rc<WorkspaceEntry>>, Denial> {
        if self.is_empty() {
            return Ok(None);
        }
        let denial = match shown {
            PresentedKey::Key(digest) => match self.find(&digest) {
                Some(member) => return Ok(Some(Rc::clone(member))),
                None => Denial::Unknown,
            },
            PresentedKey::Absent => Denial::Missing,
            PresentedKey::Ambiguous => Denial::Ambiguous,
        };
        match (route.open, sure) {
            (true, _) => Ok(None),
            (false, true) => Err(denial),
            (false, false) => Err(Denial::Stale),
        }
    }
}
