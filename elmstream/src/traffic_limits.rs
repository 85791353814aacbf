//! Limits at the receiving region: an owner enforces its part of the shift caps
//! and link limits.

use crate::{
    catalog::ShiftCap,
    code::Code,
    id::{Name, RegionId, ServiceId},
    node::Node,
    request_handling::Refusal,
    time::{SECOND, Time},
    token_bucket::{PARTS_PER_WHOLE, TokenBucket},
};

impl Node {
    /// Checks whether the configuration allows a shift of this service from
    /// `home` to `here`.
    pub(crate) fn check_shift(
        &self,
        now: Time,
        id: ServiceId,
        home: RegionId,
        here: RegionId,
    ) -> Result<(), Refusal> {
        if self.is_isolated(now) {
            return Err(Refusal::new(Code::Isolated, SECOND));
        }
        match self.catalog.shift_caps.contains_key(&(id, home, here)) {
            true => Ok(()),
            false => Err(Refusal::new(Code::ShiftCapped, SECOND)),
        }
    }

    /// Charges one request to the shift cap and to the link limit.
    pub(crate) fn charge_shift(
        &mut self,
        now: Time,
        id: ServiceId,
        home: RegionId,
        here: RegionId,
    ) -> Result<(), Refusal> {
        let cap = self.catalog.shift_caps.get(&(id, home, here)).copied().unwrap_or_default();
        let part = self.cap_part(Some(id));
        let settled_at = self.settled_at;
        let ShiftCap { per_second, ramp } = cap;
        let from = self.catalog.regions[home.index()].name.clone();
        let key = (self.service(id).name.clone(), from.clone());
        let bucket = self.shift_buckets.entry(key).or_insert_with(|| TokenBucket::new(settled_at));
        if !bucket.take(now, 1, u64::from(per_second), part, ramp) {
            let wait = bucket.retry_after(u64::from(per_second), part);
            return Err(Refusal::new(Code::ShiftCapped, wait));
        }
        let Some(link) = self.catalog.links.get(&(home, here)).copied() else {
            return Ok(());
        };
        if link.requests_per_second == 0 {
            return Ok(());
        }
        let part = self.cap_part(None);
        let bucket =
            self.link_request_buckets.entry(from).or_insert_with(|| TokenBucket::new(settled_at));
        let rate = u64::from(link.requests_per_second);
        if !bucket.take(now, 1, rate, part, 0) {
            return Err(Refusal::new(Code::LinkLimited, bucket.retry_after(rate, part)));
        }
        Ok(())
    }

    /// Takes up to `bytes` of the byte limit of the link from region `home` and
    /// returns the number taken.
    ///
    /// A host that has released its part of the limit passes all bytes: only the
    /// remaining bodies of earlier requests are affected, which are few, and these
    /// would otherwise be stuck forever.
    pub fn take_link_bytes(&mut self, now: Time, home: &str, bytes: u64) -> u64 {
        let regions = self.catalog.region(home).zip(self.region());
        let Some((from, here)) = regions.filter(|(from, here)| from != here) else {
            return bytes;
        };
        let limit = self.catalog.links.get(&(from, here)).map_or(0, |l| l.bytes_per_second);
        if limit == 0 {
            return bytes;
        }
        let part = self.cap_part(None);
        if part == 0 {
            return bytes;
        }
        let settled_at = self.settled_at;
        let bucket = self.link_byte_buckets.entry(home.into());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(settled_at));
        bucket.take_up_to(now, bytes, limit, part)
    }

    /// This host's part of its region's caps in [`PARTS_PER_WHOLE`]ths: for one
    /// service, or averaged over all services for a limit that they share.
    fn cap_part(&self, service: Option<ServiceId>) -> u64 {
        let is_of_service = |name: &Name| {
            let backend = self.catalog.backend(name).map(|id| &self.catalog.backends[id.index()]);
            service.is_none_or(|id| backend.is_some_and(|b| b.service == id))
        };
        let owned = self.row.owned_by(&self.settings.me).filter(|(name, _)| is_of_service(name));
        let sum: u64 = owned.map(|(_, grant)| self.row.effective_part(grant)).sum();
        let services = self.services_in_row().max(1);
        match service {
            Some(_) => sum.min(PARTS_PER_WHOLE),
            None => (sum / services).min(PARTS_PER_WHOLE),
        }
    }

    /// Number of services with a backend server in the row.
    fn services_in_row(&self) -> u64 {
        let service_of = |name: &Name| {
            let id = self.catalog.backend(name)?;
            Some(self.catalog.backends[id.index()].service)
        };
        let mut services: Vec<ServiceId> = self.row.grants.keys().filter_map(service_of).collect();
        services.sort();
        services.dedup();
        services.len() as u64
    }
}
