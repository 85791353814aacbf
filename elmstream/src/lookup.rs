//! Look-ups: which entry hosts a caller should use.
//!
//! Weighted rendezvous hashing over the live entry hosts of the client's home
//! region, so that every host gives a site the same answer as long as it sees
//! the same hosts. A host's weight moves by bounded steps, because answers that
//! clients have cached still bring load.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    allotment::rendezvous_weight,
    catalog::Catalog,
    id::{Name, RegionId},
    member::{Member, Members},
    time::Time,
};

/// Entry hosts in an answer at most.
pub const ANSWER_HOSTS_MAX: usize = 3;
/// Weight of a host that takes its full share, in thousandths.
pub const WEIGHT_FULL: u32 = 1_000;
/// Change of a weight per heartbeat interval at most.
pub const WEIGHT_STEP_MAX: u32 = 100;
/// Weight of the host of another region that ends an answer: it is to be used
/// only if none of the others can be reached, as when their region has failed.
pub const WEIGHT_STANDBY: u32 = 0;
/// Weight that a host begins with when it is first heard.
pub const WEIGHT_INITIAL: u32 = 100;

/// An entry host in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankedHost {
    /// Its name.
    pub host: Name,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Its weight, in thousandths.
    pub weight: u32,
}

/// Ranks the entry hosts for a key (site and service); best first.
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
        Some((distance, weighted(rendezvous_weight(&m.name, key), m.weight)))
    };
    let mut ranked: Vec<_> = members.iter().filter_map(|m| Some((score(m)?, m))).collect();
    ranked.sort_by(|((d1, s1), _), ((d2, s2), _)| d1.cmp(d2).then(s2.total_cmp(s1)));
    let region = |m: &Member| catalog.region_of_domain(&m.domain);
    let nearest = ranked.first().and_then(|(_, m)| region(m));
    let standby = ranked.iter().position(|(_, m)| region(m) != nearest);
    let (near, far) = ranked.split_at(standby.unwrap_or(ranked.len()));
    let choice =
        |m: &Member, weight| RankedHost { host: m.name.clone(), callers: m.callers, weight };
    let near = near.iter().take(ANSWER_HOSTS_MAX).map(|(_, m)| choice(m, m.weight));
    let far = far.first().map(|(_, m)| choice(m, WEIGHT_STANDBY));
    near.chain(far).collect()
}

/// Moves each host's weight a step towards what its state allows.
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

/// A digest of all that decides how hosts are ranked, besides the catalog.
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

/// Whether a host may be named in an answer at all.
fn is_usable(catalog: &Catalog, member: &Member, now: Time) -> bool {
    let drained = catalog.draining_hosts.contains(&member.name);
    member.is_live(now) && member.takes_new_work() && member.weight > 0 && !drained
}

/// The score of weighted rendezvous hashing: `-w / ln(h)`, `h` in (0, 1).
fn weighted(hash: u64, weight: u32) -> f64 {
    let unit = (hash >> 11) as f64 + 0.5;
    let fraction = unit / (1u64 << 53) as f64;
    f64::from(weight) / -fraction.ln()
}
