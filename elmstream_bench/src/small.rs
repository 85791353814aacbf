//! A small fleet: three entry hosts in two regions, and six backend servers of three
//! services.

use std::time::{Duration, Instant};

use elmstream_config::{
    Configuration,
    document::{BackendServer, FailureDomain, Region, Service, ShiftCap},
};
use elmstream_standin::backend::Behaviour;

use crate::{
    fleet::Fleet,
    operator::{Operator, in_force, reported_slots},
};

/// Time limit for reaching an awaited state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that a stand-in runs a request, in milliseconds.
pub const RUN_MS: u64 = 2;
/// Number of slots of each backend server.
pub const SLOTS_PER_SERVER: u32 = 4;
/// Names of the entry hosts and their failure domains.
pub const HOSTS: [(&str, &str); 3] =
    [("host-1", "north-a"), ("host-2", "north-b"), ("host-3", "south-a")];
/// Backend servers: name, service, failure domain.
pub const BACKENDS: [(&str, &str, &str); 6] = [
    ("status-1", "status", "north-a"),
    ("status-2", "status", "north-b"),
    ("status-3", "status", "south-a"),
    ("release-1", "release", "north-a"),
    ("release-2", "release", "south-a"),
    ("intake-1", "intake", "north-b"),
];

/// Starts backend servers and entry hosts, and returns their configuration.
pub fn start_fleet(fleet: &mut Fleet) -> Configuration {
    let configuration = configuration(fleet);
    for (name, domain) in HOSTS {
        fleet.add_host(name, domain);
    }
    configuration
}

/// Starts backend servers and returns their configuration.
pub fn configuration(fleet: &mut Fleet) -> Configuration {
    let mut c = Configuration::default();
    for name in ["north", "south"] {
        c.regions.push(Region { name: name.into() });
    }
    for (name, region) in [("north-a", "north"), ("north-b", "north"), ("south-a", "south")] {
        c.failure_domains.push(FailureDomain { name: name.into(), region: region.into() });
    }
    for name in ["status", "release", "intake"] {
        let deadline_ms = if name == "intake" { 30_000 } else { 2_000 };
        c.services.push(Service { name: name.into(), deadline_ms, ..Service::default() });
        for (from, to) in [("north", "south"), ("south", "north")] {
            let (service, from, to) = (name.into(), from.into(), to.into());
            c.shift_caps.push(ShiftCap { service, from, to, per_second: 400, ramp_ms: 0 });
        }
    }
    for (name, service, failure_domain) in BACKENDS {
        let address = fleet.add_backend(name, Behaviour { run_ms: RUN_MS, ..Behaviour::default() });
        let (name, service) = (name.into(), service.into());
        let failure_domain = failure_domain.into();
        c.backend_servers.push(BackendServer {
            name,
            service,
            failure_domain,
            address,
            slots: SLOTS_PER_SERVER,
        });
    }
    c
}

/// Publishes the host list, applies the configuration, and waits until every backend server
/// has an owner. Returns the operator's session.
///
/// Fails if the configuration is refused or an awaited state is not reached in time.
pub async fn make_ready(fleet: &Fleet, configuration: &Configuration) -> Result<Operator, String> {
    fleet.publish_host_list(&fleet.host_list(&[])).await.map_err(|e| e.to_string())?;
    let mut operator = Operator::connect(fleet, 0).await?;
    let begin = Instant::now();
    let reply = operator.apply(0, configuration).await?;
    if reply.code != 0 {
        return Err(format!("the configuration was not accepted: {}", reply.message));
    }
    let all = fleet.hosts.len();
    operator.wait_until(STATE_TIMEOUT, "revision 1 in force", |s| in_force(s, 1, all)).await?;
    println!("revision 1 in force on {all} hosts after {:?}", begin.elapsed());
    let wanted: u32 = configuration.backend_servers.iter().map(|b| b.slots).sum();
    operator.wait_until(STATE_TIMEOUT, "owners for all", |s| reported_slots(s) == wanted).await?;
    println!("every backend server has an owner after {:?}", begin.elapsed());
    Ok(operator)
}
