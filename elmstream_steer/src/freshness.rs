//! How far a host can rely on the rules that it knows: the configuration, evacuations and rollout
//! orders.

use elmstream::time::{MILLI, Time};

use crate::{announcements::Announcement, steer::Steer, view::Table};

/// Fraction of the configuration bound during which a host relies on what it knows. In a working
/// fleet, updates reach all hosts within half the bound, of which they spend up to a quarter in
/// transit.
const CURRENT_AGE_FRACTION: f64 = 0.6;

impl Steer {
    /// Whether this host can answer that a route does not exist.
    ///
    /// Callers take such an answer as final. It is given only while this host's knowledge is recent
    /// and no other host has announced a newer version.
    pub fn can_deny_routes(&self, now: Time) -> bool {
        let max_age = self.current_age_max();
        let is_recent = self.view.age(now, Table::Rules).is_some_and(|age| age < max_age);
        is_recent && self.missing_update(Table::Rules).is_none()
    }

    /// Whether this host has lacked rules that another host announced for so long that the home
    /// regions that it knows may no longer be in force.
    pub fn homes_are_outdated(&self, now: Time) -> bool {
        self.overdue_rules(now).is_some()
    }

    /// Whether this host has lacked announced rules for so long that the ones that it knows may no
    /// longer be in force, while most hosts know newer ones and can serve in its place.
    ///
    /// As long as few hosts know them, no host refuses requests because of them: what one host
    /// announces may be out of reach for all others. Hosts that do not serve callers, or do not
    /// reach some servers, take no part.
    pub fn rules_are_outdated(&self, now: Time) -> bool {
        let Some(overdue) = self.overdue_rules(now) else { return false };
        let own = self.known_version(Table::Rules);
        let replacements = self.members.live(now).filter(|member| {
            member.ready
                && !member.leaving
                && member.cut_services.is_empty()
                && member.last_heartbeat >= overdue.reported_at
        });
        let (mut hosts, mut ahead) = (1, 0);
        for member in replacements {
            hosts += 1;
            ahead += usize::from(member.rules_version > own);
        }
        2 * ahead > hosts
    }

    /// Rules that another host announced, and that this host has lacked for too long.
    fn overdue_rules(&self, now: Time) -> Option<Announcement> {
        let missing = self.missing_update(Table::Rules)?;
        (now.since(missing.reported_at) >= self.current_age_max()).then_some(missing)
    }

    /// Age up to which this host's knowledge of the rules counts as current, in microseconds.
    fn current_age_max(&self) -> u64 {
        let bound = self.settings.bounds.configuration_ms * MILLI;
        (bound as f64 * CURRENT_AGE_FRACTION) as u64
    }

    /// A version of a table that another host announced and this host lacks.
    pub(crate) fn missing_update(&self, table: Table) -> Option<Announcement> {
        self.announcements[table as usize].first_after(self.known_version(table))
    }
}
