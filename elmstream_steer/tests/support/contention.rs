//! A fleet whose callers ask for more than the servers can do, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use elmstream::time::Time;
use elmstream_steer::{
    Pick, PickRequest, Steer, hash,
    heartbeat::Message,
    model::{Repeatability, Route, Workspace},
    policies::{ContentionPolicy, Policies},
    servers::{Outcome, ServerIndex},
    view::{Row, RowContent, Table},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::support::{
    configuration, exchange_heartbeats, host_number, ms, pick_request, ready, route, servers,
};

/// Answer time of a server without the wait, in milliseconds.
pub const WORK_MS: u64 = 150;
const STEP_MS: u64 = 5;
/// Interval of heartbeats to other regions; those within a region come more often.
const HEARTBEAT_MS: u64 = 100;
const REPORT_MS: u64 = 100;
const SERVERS_PER_DOMAIN: usize = 3;
/// Slots of all servers: four failure domains, and six slots for each server.
pub const SLOTS: usize = SERVERS_PER_DOMAIN * 4 * 6;

/// Requests of one kind, and what became of them.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    pub priority: u32,
    /// Name of the workspace; `None` for requests of open routes.
    pub workspace: Option<String>,
    /// Whether refused callers come back at once, whatever retry time they were told.
    pub retries_at_once: bool,
    /// First attempts a second.
    pub rate_per_s: f64,
    pub asked: usize,
    pub served: usize,
    pub late: usize,
    /// Refusals because others are more urgent.
    pub less_urgent: usize,
    /// Refusals because the workspace is above its share.
    pub above_share: usize,
}

impl Kind {
    pub fn served_part(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }

    pub fn late_part(&self) -> f64 {
        self.late as f64 / self.asked.max(1) as f64
    }
}

/// A configuration with the workspaces of the kinds.
fn with_workspaces(kinds: &[Kind]) -> Row {
    let mut row = configuration(2, 20);
    if let Some(RowContent::Configuration(configuration)) = &mut row.content {
        let names = kinds.iter().filter_map(|kind| kind.workspace.clone());
        configuration.workspaces =
            names.map(|name| Workspace { name, ..Workspace::default() }).collect();
    }
    row
}

struct Caller {
    kind: usize,
    key: u64,
    began: u64,
}

/// Callers, hosts and servers.
pub struct Fleet {
    pub kinds: Vec<Kind>,
    hosts: Vec<Steer>,
    /// End times of the requests that occupy a server's slots, by the server's index.
    slots: Vec<BinaryHeap<Reverse<u64>>>,
    /// Answers on their way: time, host, server and the time that the answer took.
    answers: Vec<(u64, usize, ServerIndex, u64)>,
    retries: Vec<(u64, Caller)>,
    route: Route,
    rng: StdRng,
}

impl Fleet {
    pub fn new(hosts: usize, policy: ContentionPolicy, kinds: Vec<Kind>, seed: u64) -> Fleet {
        let policies = Policies { contention: policy, ..Policies::default() };
        let ready_host = |number| {
            let mut host = ready(number, ms(0), servers(SERVERS_PER_DOMAIN));
            let settings = host.settings().clone();
            host.reconfigure(settings.domains, settings.bounds, policies);
            host.on_changes(ms(0), Table::Rules, vec![with_workspaces(&kinds)]);
            host
        };
        Fleet {
            hosts: (0..hosts).map(ready_host).collect(),
            kinds,
            slots: vec![BinaryHeap::from(vec![Reverse(0); 6]); SLOTS / 6],
            answers: Vec::new(),
            retries: Vec::new(),
            route: route(Repeatability::Once, &[]),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays until a time, in milliseconds.
    pub fn run(mut self, until: u64) -> Vec<Kind> {
        for at in (0..until).step_by(STEP_MS as usize) {
            if at % HEARTBEAT_MS == 0 {
                exchange_heartbeats(ms(at), &mut self.hosts, |_, _| true);
            }
            if at % REPORT_MS == 0 {
                self.exchange_reports(ms(at));
            }
            let (due, later) = self.answers.drain(..).partition(|(end, ..)| *end <= at);
            self.answers = later;
            let due: Vec<(u64, usize, ServerIndex, u64)> = due;
            for (_, host, index, took) in due {
                let outcome = Outcome::Answered { micros: took * 1_000, was_warm: true };
                self.hosts[host].record_outcome(ms(at), index, outcome);
            }
            let (due, later) = self.retries.drain(..).partition(|(time, _)| *time <= at);
            self.retries = later;
            let due: Vec<(u64, Caller)> = due;
            for (_, caller) in due {
                self.ask(at, caller);
            }
            for kind in 0..self.kinds.len() {
                // Twenty draws a step come close to a Poisson process.
                let chance = self.kinds[kind].rate_per_s * STEP_MS as f64 / 20_000.0;
                for _ in 0..20 {
                    if self.rng.random::<f64>() < chance {
                        self.kinds[kind].asked += 1;
                        let key = self.rng.random();
                        self.ask(at, Caller { kind, key, began: at });
                    }
                }
            }
        }
        self.kinds
    }

    /// Exchanges usage reports, replies and broadcasts.
    fn exchange_reports(&mut self, now: Time) {
        for from in 0..self.hosts.len() {
            for (address, message) in self.hosts[from].due_messages(now) {
                let to = host_number(address);
                match message {
                    Message::UsageReport(report) => {
                        let reply = self.hosts[to].on_usage_report(now, &report);
                        self.hosts[from].on_usage_reply(now, &reply);
                    }
                    Message::FractionBroadcast(broadcast) => {
                        self.hosts[to].on_broadcast(now, &broadcast);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Sends a caller's attempt to a host that is picked by chance.
    fn ask(&mut self, at: u64, caller: Caller) {
        let host = self.rng.random_range(0..self.hosts.len());
        let waited = at - caller.began;
        let kind = &mut self.kinds[caller.kind];
        let name = kind.workspace.as_deref().map(hash::of);
        let entry = name.and_then(|id| self.hosts[host].workspaces().get(id).cloned());
        if let Some(entry) = &entry {
            self.hosts[host].admit(ms(at), entry);
        }
        let request = PickRequest {
            workspace: entry.map(|entry| entry.id),
            priority: kind.priority,
            returning: waited > 0,
            remaining_ms: self.route.timeout_ms.saturating_sub(waited),
            ..pick_request(&self.route, caller.key)
        };
        match self.hosts[host].pick_server(ms(at), &request) {
            Pick::Send(index) => {
                let slots = &mut self.slots[index.0];
                let Reverse(free) = slots.pop().expect("a server has slots");
                let end = free.max(at) + WORK_MS;
                slots.push(Reverse(end));
                kind.served += 1;
                kind.late += usize::from(end - at > self.route.objective_ms);
                self.answers.push((end, host, index, end - at));
            }
            Pick::Refuse(refusal) => {
                kind.less_urgent += usize::from(format!("{:?}", refusal.reason) == "LessUrgent");
                kind.above_share += usize::from(format!("{:?}", refusal.reason) == "FairShare");
                let pause = if kind.retries_at_once { 20 } else { refusal.retry_ms };
                if waited + pause < self.route.timeout_ms {
                    self.retries.push((at + pause, caller));
                }
            }
        }
    }
}
