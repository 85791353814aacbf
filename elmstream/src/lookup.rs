//! Look-ups: the entry hosts that a caller should use.
//!
//! Ranks the live entry hosts by weighted rendezvous hashing, those of the
//! client's home region first. All hosts that know the same members therefore
//! give a site the same answer. A host's weight changes in bounded steps, because
//! clients keep sending requests according to cached answers.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    allotment::rendezvous_weight,
    catalog::Catalog,
    id::{Name, RegionId},
    member::{Member, Members},
    time::Time,
};

/// Most entry hosts of the nearest region in an answer.
pub const ANSWER_HOSTS_MAX: usize = 3;
/// Weight of a host that takes its full share, in thousandths.
pub const WEIGHT_FULL: u32 = 1_000;
/// Largest change of a weight per heartbeat interval, in thousandths.
pub const WEIGHT_STEP_MAX: u32 = 100;
/// Weight of the standby host at the end of an answer, which is in another
/// region. Clients use it only if they can reach none of the other hosts, for
/// example because the whole region failed.
pub const WEIGHT_STANDBY: u32 = 0;
/// Weight that a host starts with when it becomes live, in thousandths.
pub const WEIGHT_INITIAL: u32 = 100;

/// An entry host in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankedHost {
    /// Name of the host.
    pub host: Name,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Weight in thousandths; [`WEIGHT_STANDBY`] marks the standby host.
    pub weight: u32,
}

/// Ranks the entry hosts for a key (site and service), best first. Returns up to
/// [`ANSWER_HOSTS_MAX`] hosts of the nearest region, then one standby host of
/// another region.
pub fn rank_hosts(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    home: RegionId,
    key: &str,
) -> Vec<RankedHost> {
    let score = |m: &Member| -> Option<(u64, f64)> {
        if !is_usable(catalog, m, now) {
            return None;
        }
        let region = catalog.region_of_domain(&m.domain)?;
        let distance = if region == home { 0 } else { 1 + catalog.delay(home, region) };
        Some((distance, weighted_score(rendezvous_weight(&m.name, key), m.weight)))
    };
    let mut ranked: Vec<_> = members.iter().filter_map(|m| Some((score(m)?, m))).collect();
    ranked.sort_by(|((d1, s1), _), ((d2, s2), _)| d1.cmp(d2).then(s2.total_cmp(s1)));
    let region = |m: &Member| catalog.region_of_domain(&m.domain);
    let nearest = ranked.first().and_then(|(_, m)| region(m));
    let standby = ranked.iter().position(|(_, m)| region(m) != nearest);
    let (near, far) = ranked.split_at(standby.unwrap_or(ranked.len()));
    let entry =
        |m: &Member, weight| RankedHost { host: m.name.clone(), callers: m.callers, weight };
    let near = near.iter().take(ANSWER_HOSTS_MAX).map(|(_, m)| entry(m, m.weight));
    let far = far.first().map(|(_, m)| entry(m, WEIGHT_STANDBY));
    near.chain(far).collect()
}

/// Moves the weight of each host one step towards its target: full if it is live
/// and takes new work, else zero.
pub fn step_weights(members: &mut Members, now: Time) {
    for member in members.iter_mut() {
        let live = member.is_live(now) && member.takes_new_work();
        let target = if live { WEIGHT_FULL } else { 0 };
        member.weight = match member.weight {
            0 if live => WEIGHT_INITIAL,
            weight if weight < target => (weight + WEIGHT_STEP_MAX).min(target),
            weight => weight.saturating_sub(WEIGHT_STEP_MAX).max(target),
        };
    }
}

/// Digest of everything that affects the ranking besides the catalog. Cached
/// answers are valid while it is unchanged.
pub fn ranking_digest(catalog: &Catalog, members: &Members, now: Time) -> u64 {
    let mut digest = Xxh3Default::new();
    for member in members.iter().filter(|m| is_usable(catalog, m, now)) {
        digest.update(member.name.as_bytes());
        digest.update(member.domain.as_bytes());
        digest.update(&member.weight.to_le_bytes());
        digest.update(member.callers.to_string().as_bytes());
    }
    digest.digest()
}

/// Whether a host may appear in an answer.
fn is_usable(catalog: &Catalog, member: &Member, now: Time) -> bool {
    let drained = catalog.draining_hosts.contains(&member.name);
    member.is_live(now) && member.takes_new_work() && member.weight > 0 && !drained
}

/// Score of weighted rendezvous hashing: `-w / ln(h)` with `h` in (0, 1).
fn weighted_score(hash: u64, weight: u32) -> f64 {
    let unit = (hash >> 11) as f64 + 0.5;
    let fraction = unit / (1u64 << 53) as f64;
    f64::from(weight) / -fraction.ln()
}
