//! Versions of a table that other hosts have announced and this host lacks.

use std::collections::VecDeque;

use elmstream::time::Time;

use crate::version::StoreVersion;

/// Maximum number of versions that are tracked.
const TRACKED_MAX: usize = 16;

/// A newer version that another host has announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Announcement {
    /// Version of the table at the other host.
    pub(crate) version: StoreVersion,
    /// When the version was first announced.
    pub(crate) reported_at: Time,
}

/// Announcements of one table, by rising version and time.
///
/// Rows that arrive may be older than the newest ones that were announced. How long this host has
/// lacked the others then still counts from their own announcement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Announcements(VecDeque<Announcement>);

impl Announcements {
    /// Records that another host has `version`, and forgets what this host, at `known`, has now.
    pub(crate) fn record(&mut self, now: Time, version: StoreVersion, known: StoreVersion) {
        self.0.retain(|announcement| announcement.version > known);
        let newest = self.0.back().map_or(known, |newest| newest.version);
        // Heartbeats repeat a version for which there is no room.
        if version > newest && self.0.len() < TRACKED_MAX {
            self.0.push_back(Announcement { version, reported_at: now });
        }
    }

    /// The first announcement of what a host at version `known` lacks.
    pub(crate) fn first_after(&self, known: StoreVersion) -> Option<Announcement> {
        self.0.iter().find(|announcement| announcement.version > known).copied()
    }

    /// The newest version that was announced by a time.
    pub(crate) fn newest_at(&self, time: Time) -> Option<StoreVersion> {
        let by_then = self.0.iter().take_while(|announcement| announcement.reported_at <= time);
        by_then.last().map(|announcement| announcement.version)
    }
}
