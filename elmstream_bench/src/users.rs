//! A user's fleet: twelve entry hosts as processes, the user's instances as stand-ins, and
//! callers in each region.

use std::{
    env,
    net::{IpAddr, Ipv4Addr},
    path::PathBuf,
    thread,
    time::Duration,
};

use compio::runtime::Runtime;
use elmstream_config::{Configuration, document::Site};
use elmstream_standin::{
    backend::Behaviour,
    caller::{self, LoadPlan},
    report::Report,
    target::Pick,
};
use futures_util::future::join_all;
use http::Method;

use crate::{
    fleet::Fleet,
    operator::{Operator, in_force, reported_slots},
    process::Daemons,
    sizes::{SLOTS_PER_INSTANCE, User},
};

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: usize = 2;
/// Mean time that an instance runs a request, in milliseconds.
const MEAN_RUN_MS: u64 = 250;
/// Time limit for reaching an awaited state.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of callers that share a region's load in the baselines: one for each of the
/// region's entry hosts.
const BASELINE_CALLERS: u32 = 4;

/// A running fleet of a user's size.
pub struct UserFleet {
    /// The user.
    pub user: User,
    /// Stand-ins, and settings of the hosts.
    pub fleet: Fleet,
    /// The daemons; the hosts of region *r* have the indexes 4*r* to 4*r* + 3.
    pub daemons: Daemons,
    /// The operator's session, with a host of the last region.
    pub operator: Operator,
    /// The configuration in force.
    pub configuration: Configuration,
}

/// A load on one service from one region.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Index of the region.
    pub region: usize,
    /// Index of the service.
    pub service: usize,
    /// Requests a second.
    pub per_second: u32,
}

/// A demand and its result.
pub struct LoadResult {
    /// The demand.
    pub demand: Demand,
    /// The callers' report.
    pub report: Report,
}

/// Mean time that an instance runs a request.
pub fn mean_run_time() -> Duration {
    Duration::from_millis(MEAN_RUN_MS)
}

/// The IP address from which a region's callers send.
fn caller_ip(region: usize) -> IpAddr {
    Ipv4Addr::new(127, 200 + region as u8, 0, 1).into()
}

impl UserFleet {
    /// Starts everything and waits until each instance has an owner.
    ///
    /// Fails if a process cannot be started, the configuration is refused or an awaited
    /// state is not reached in time.
    pub async fn start(user: User, mut fleet: Fleet) -> Result<UserFleet, String> {
        let behaviour = instance_behaviour();
        let mut configuration =
            user.configuration(|name| fleet.add_backend(name, behaviour.clone()));
        configuration.sites = sites(&user);
        let program = daemon_path()?;
        let mut daemons = Daemons::default();
        for domain in user.domains() {
            for number in 1..=HOSTS_PER_DOMAIN {
                let name = format!("{domain}-{number}");
                let started = daemons.start(&mut fleet, &program, &name, &domain);
                started.map_err(|e| e.to_string())?;
            }
        }
        fleet.publish_host_list(&fleet.host_list(&[])).await.map_err(|e| e.to_string())?;
        let hosts = fleet.hosts.len();
        let mut operator = Operator::connect(&fleet, hosts - 1).await?;
        let reply = operator.apply(0, &configuration).await?;
        if reply.code != 0 {
            return Err(reply.message);
        }
        operator
            .wait_until(STATE_TIMEOUT, "revision 1 in force", |s| in_force(s, 1, hosts))
            .await?;
        let total_slots: u32 = configuration.backend_servers.iter().map(|b| b.slots).sum();
        operator
            .wait_until(STATE_TIMEOUT, "owners for all", |s| reported_slots(s) == total_slots)
            .await?;
        Ok(UserFleet { user, fleet, daemons, operator, configuration })
    }

    /// Indexes of a service's instances in a region.
    pub fn instances(&self, region: usize, service: usize) -> Vec<usize> {
        let name = self.user.services[service].0;
        let region = self.user.regions[region];
        let servers = self.configuration.backend_servers.iter().enumerate();
        let here =
            servers.filter(|(_, b)| b.service == name && b.failure_domain.starts_with(region));
        here.map(|(index, _)| index).collect()
    }

    /// Number of slots of a service in a region.
    pub fn slots(&self, region: usize, service: usize) -> u32 {
        self.instances(region, service).len() as u32 * SLOTS_PER_INSTANCE
    }

    /// Requests a second that all slots of a service in a region can run.
    pub fn capacity(&self, region: usize, service: usize) -> u32 {
        self.slots(region, service) * 1_000 / MEAN_RUN_MS as u32
    }

    /// Demands on all services from all regions, each at a percentage of its capacity.
    pub fn demands(&self, percent: u32) -> Vec<Demand> {
        let pairs = (0..self.user.regions.len())
            .flat_map(|region| (0..self.user.services.len()).map(move |service| (region, service)));
        pairs
            .map(|(region, service)| {
                let per_second = self.capacity(region, service) * percent / 100;
                Demand { region, service, per_second }
            })
            .collect()
    }

    /// Starts a load that is sent through the entry hosts by lookups.
    pub fn start_load(&self, demands: &[Demand], duration: Duration, prefix: &str) -> RunningLoads {
        let entry_hosts: Vec<_> =
            self.fleet.hosts.iter().map(|h| h.settings.listen.callers).collect();
        let load = |demand: &Demand| LoadPlan {
            lookup_hosts: entry_hosts.clone(),
            ..self.load_parameters(demand, duration, prefix)
        };
        RunningLoads::start(demands.iter().map(|d| (d.clone(), vec![load(d)])).collect())
    }

    /// Starts a load that is sent directly to the region's instances, without elmstream.
    pub fn start_baseline_load(
        &self,
        demands: &[Demand],
        duration: Duration,
        pick: Pick,
    ) -> RunningLoads {
        let loads = |demand: &Demand| {
            let instances = self.instances(demand.region, demand.service);
            let targets = instances.iter().map(|&i| self.fleet.backends[i].address).collect();
            let prefix = format!("{pick:?}-{}", demand.per_second);
            let load =
                LoadPlan { targets, pick, ..self.load_parameters(demand, duration, &prefix) };
            let per_second = (demand.per_second / BASELINE_CALLERS).max(1);
            let part = |n| LoadPlan {
                per_second,
                id_prefix: format!("{n}-{}", load.id_prefix),
                ..load.clone()
            };
            (demand.clone(), (0..BASELINE_CALLERS).map(part).collect())
        };
        RunningLoads::start(demands.iter().map(loads).collect())
    }

    fn load_parameters(&self, demand: &Demand, duration: Duration, prefix: &str) -> LoadPlan {
        LoadPlan {
            service: self.user.services[demand.service].0.into(),
            per_second: demand.per_second,
            duration,
            method: if demand.service == 0 { Method::GET } else { Method::POST },
            body_bytes: if demand.service == 0 { 0 } else { 200 },
            id_prefix: format!("{prefix}-{}-{}", demand.region, demand.service),
            source_ip: Some(caller_ip(demand.region)),
            ..LoadPlan::default()
        }
    }

    /// Ends all drains, by a change that follows `revision`.
    ///
    /// Fails if the change is refused.
    pub async fn undrain(&mut self, revision: u64) -> Result<(), String> {
        let reply = self.operator.apply(revision, &self.configuration).await?;
        match reply.code {
            0 => Ok(()),
            _ => Err(reply.message),
        }
    }

    /// Resets the largest number of waiting requests recorded by each instance.
    pub async fn reset_backends(&self) -> Result<(), String> {
        for index in 0..self.fleet.backends.len() {
            self.fleet
                .set_behaviour(index, &instance_behaviour())
                .await
                .map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// The largest number of requests that waited at an instance with all slots in use, and
    /// the number of requests that ran more than once.
    pub async fn limit_violations(&self) -> Result<(u32, u64), String> {
        let (mut waiting, mut ids) = (0, std::collections::HashMap::new());
        for index in 0..self.fleet.backends.len() {
            let seen = self.fleet.seen(index).await.map_err(|e| e.to_string())?;
            waiting = waiting.max(seen.waiting_max);
            for (id, runs) in seen.ids {
                *ids.entry(id).or_insert(0) += runs;
            }
        }
        let twice = ids.values().filter(|runs| **runs > 1).count() as u64;
        Ok((waiting, twice))
    }
}

/// Running loads, with a thread for each region.
pub struct RunningLoads(Vec<thread::JoinHandle<Result<Vec<LoadResult>, String>>>);

impl RunningLoads {
    fn start(loads: Vec<(Demand, Vec<LoadPlan>)>) -> RunningLoads {
        let regions = loads.iter().map(|(d, _)| d.region).max().map_or(0, |r| r + 1);
        let of_region = |region| {
            let here = loads.iter().filter(|(d, _)| d.region == region).cloned().collect();
            thread::spawn(move || run_loads(here))
        };
        RunningLoads((0..regions).map(of_region).collect())
    }

    /// Waits until all loads have ended, without blocking this thread's tasks, and returns
    /// their results.
    ///
    /// Fails if a load failed or panicked.
    pub async fn finish(self) -> Result<Vec<LoadResult>, String> {
        while !self.0.iter().all(thread::JoinHandle::is_finished) {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut served = Vec::new();
        for thread in self.0 {
            served.extend(thread.join().map_err(|_| "a load panicked")??);
        }
        Ok(served)
    }
}

fn run_loads(loads: Vec<(Demand, Vec<LoadPlan>)>) -> Result<Vec<LoadResult>, String> {
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    let run_demand = async |(demand, loads): (Demand, Vec<LoadPlan>)| {
        let mut report = Report::default();
        for part in join_all(loads.into_iter().map(caller::run)).await {
            report.merge(&part);
        }
        LoadResult { demand, report }
    };
    Ok(runtime.block_on(join_all(loads.into_iter().map(run_demand))))
}

/// Behaviour of an instance.
fn instance_behaviour() -> Behaviour {
    Behaviour {
        run_ms: MEAN_RUN_MS,
        exponential: true,
        slots: SLOTS_PER_INSTANCE,
        ..Behaviour::default()
    }
}

/// One site for the callers of each region.
fn sites(user: &User) -> Vec<Site> {
    let site = |(index, region): (usize, &&str)| Site {
        name: format!("{region}-callers"),
        home_region: (*region).into(),
        blocks: vec![format!("{}/32", caller_ip(index)).parse().expect("the block is valid")],
    };
    user.regions.iter().enumerate().map(site).collect()
}

/// Path of the daemon's program, beside this one.
fn daemon_path() -> Result<PathBuf, String> {
    let program = env::current_exe().map_err(|e| e.to_string())?.with_file_name("elmstreamd");
    match program.exists() {
        true => Ok(program),
        false => Err("build the daemon first: cargo build --release -p elmstreamd".into()),
    }
}
