//! Identifiers: names that are exchanged between hosts, and typed indexes into
//! the tables of a catalog.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Name of an entity as written in the configuration. Cloning is cheap.
pub type Name = Arc<str>;

/// Identifies one run of the daemon on an entry host. Every restart gets a new
/// value.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

/// An entry host together with the incarnation of its daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostRef {
    /// Name of the entry host.
    pub host: Name,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
}

impl fmt::Display for HostRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation.0)
    }
}

/// Declares a typed index into one of the catalog's tables.
macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl $name {
            /// Converts the index for use with a slice.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// Index into [`crate::catalog::Catalog::regions`].
    RegionId
);
index!(
    /// Index into [`crate::catalog::Catalog::domains`].
    DomainId
);
index!(
    /// Index into [`crate::catalog::Catalog::sites`].
    SiteId
);
index!(
    /// Index into [`crate::catalog::Catalog::services`].
    ServiceId
);
index!(
    /// Index into [`crate::catalog::Catalog::backends`].
    BackendId
);
