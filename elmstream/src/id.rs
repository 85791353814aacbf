//! Identifiers: names that travel between hosts, and indexes into tables.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The name of an entity, as operators write it. Cheap to clone.
pub type Name = Arc<str>;

/// One run of the daemon on an entry host; a restart makes another one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

/// An entry host and the incarnation of its daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostRef {
    /// The entry host's name.
    pub host: Name,
    /// The run of its daemon.
    pub incarnation: Incarnation,
}

impl fmt::Display for HostRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation.0)
    }
}

/// Declares an index into one of the catalog's tables.
macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl $name {
            /// The index as a `usize`.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// Index of a region.
    RegionId
);
index!(
    /// Index of a failure domain.
    DomainId
);
index!(
    /// Index of a site (a group of blocks of clients).
    SiteId
);
index!(
    /// Index of a service.
    ServiceId
);
index!(
    /// Index of a backend server.
    BackendId
);
