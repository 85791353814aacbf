//! RPCs for operators, over HTTP/2 and TLS. Each operator authenticates with a token of their own.

use std::{net::IpAddr, rc::Rc};

use elmstream::{code::Code, member::Member};
use elmstream_config::{
    Configuration,
    difference::Edit,
    document::{Drain, DrainKind},
    settings::Role,
};
use elmstream_proto::operators::{
    ApplyReply, ApplyRequest, AuditEntry, AuditReply, AuditRequest, ControlUse, DrainRequest,
    ExplainReply, ExplainRequest, GetReply, GetRequest, HostStatus, Ownership, ServiceStatus,
    StatusReply, StatusRequest, operators_server::Operators,
};
use send_wrapper::SendWrapper;
use sha2::{Digest, Sha256};
use tonic::{Request, Response, Status, metadata::MetadataMap};

use crate::{audit, clock, configuration, configuration::Decision, daemon::Daemon, telemetry};

/// Most audit entries in one reply.
const AUDIT_ENTRIES_MAX: u32 = 200;

/// Implementation of the RPCs. It must run on the daemon's thread only; the wrappers panic on any
/// other.
pub struct OperatorService(SendWrapper<Rc<Daemon>>);

impl OperatorService {
    /// Creates the service of a daemon.
    pub fn new(daemon: Rc<Daemon>) -> OperatorService {
        OperatorService(SendWrapper::new(daemon))
    }

    /// Returns the operator's name if the token is registered and its role allows the call.
    fn authorize(&self, metadata: &MetadataMap, needed: Role) -> Result<String, Status> {
        let token = metadata.get("authorization").and_then(|value| value.to_str().ok());
        let token = token.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default();
        let digest = Sha256::digest(token.as_bytes());
        let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let operators = &self.0.settings.operators;
        let registered = operators.iter().find(|o| o.token_sha256.eq_ignore_ascii_case(&hash));
        let operator =
            registered.ok_or_else(|| error_status(Code::TokenBad, Status::unauthenticated))?;
        if operator.role < needed {
            return Err(error_status(Code::RoleDenied, Status::permission_denied));
        }
        Ok(operator.name.clone())
    }
}

fn error_status(code: Code, make: fn(String) -> Status) -> Status {
    make(format!("E{} {}", code.number(), code.text()))
}

fn apply_reply(decision: Decision) -> Response<ApplyReply> {
    Response::new(ApplyReply {
        code: u32::from(decision.code.number()),
        revision: decision.revision,
        message: decision.message,
    })
}

#[tonic::async_trait]
impl Operators for OperatorService {
    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let operator = self.authorize(request.metadata(), Role::Change)?;
        let request = request.into_inner();
        let next = match Configuration::parse(&request.document) {
            Ok(next) => next,
            Err(error) => {
                let message = error.to_string();
                return Ok(apply_reply(Decision { code: error.code(), revision: 0, message }));
            }
        };
        let daemon = self.0.clone();
        let change = SendWrapper::new(async move {
            configuration::apply(&daemon, &operator, request.expected_revision, next).await
        });
        Ok(apply_reply(change.await))
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<ApplyReply>, Status> {
        let operator = self.authorize(request.metadata(), Role::Change)?;
        let request = request.into_inner();
        let next = match with_drain(&self.0.current.borrow().configuration, &request) {
            Ok(next) => next,
            Err(decision) => return Ok(apply_reply(decision)),
        };
        let daemon = self.0.clone();
        let change = SendWrapper::new(async move {
            configuration::apply(&daemon, &operator, request.expected_revision, next).await
        });
        Ok(apply_reply(change.await))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetReply>, Status> {
        self.authorize(request.metadata(), Role::Read)?;
        let current = self.0.current.borrow();
        let document = current.configuration.to_text();
        Ok(Response::new(GetReply { revision: current.revision, document }))
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.authorize(request.metadata(), Role::Read)?;
        Ok(Response::new(status_of(&self.0)))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<ExplainReply>, Status> {
        self.authorize(request.metadata(), Role::Read)?;
        Ok(Response::new(explain(&self.0, &request.into_inner())))
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        self.authorize(request.metadata(), Role::Read)?;
        let limit = request.into_inner().limit.clamp(1, AUDIT_ENTRIES_MAX) as usize;
        let daemon = self.0.clone();
        let reading = SendWrapper::new(async move { audit::read(&daemon, limit).await });
        let reply = match reading.await {
            Ok(entries) => {
                AuditReply { code: 0, entries: entries.iter().map(audit_entry).collect() }
            }
            Err(_) => {
                let code = u32::from(Code::StoreUnavailable.number());
                AuditReply { code, entries: Vec::new() }
            }
        };
        Ok(Response::new(reply))
    }
}

fn audit_entry(entry: &audit::Entry) -> AuditEntry {
    AuditEntry {
        revision: entry.revision,
        operator: entry.operator.clone(),
        unix_ms: entry.unix_ms,
        code: u32::from(entry.code),
        difference: entry.edits.iter().map(Edit::to_string).collect(),
    }
}

/// Returns the configuration with a drain added, or removed if `undrain` is set.
fn with_drain(old: &Configuration, request: &DrainRequest) -> Result<Configuration, Decision> {
    let kind = match request.kind.as_str() {
        "backend-server" => DrainKind::BackendServer,
        "failure-domain" => DrainKind::FailureDomain,
        "region" => DrainKind::Region,
        "entry-host" => DrainKind::EntryHost,
        _ => return Err(Decision::new(Code::ChangeInvalid, 0)),
    };
    let mut next = old.clone();
    let drain = Drain { kind, name: request.name.clone() };
    next.drains.retain(|d| *d != drain);
    if !request.undrain {
        next.drains.push(drain);
    }
    match elmstream_config::check::check(&next) {
        Ok(()) => Ok(next),
        Err(error) => Err(Decision { code: error.code(), revision: 0, message: error.to_string() }),
    }
}

fn status_of(daemon: &Daemon) -> StatusReply {
    let now = clock::now();
    let node = daemon.node.borrow();
    let catalog = node.catalog();
    let region_of = |domain: &str| {
        let region = catalog.region_of_domain(domain);
        region.map(|id| catalog.regions[id.index()].name.to_string()).unwrap_or_default()
    };
    let propagation = daemon.propagation.borrow();
    // The reply to a push is the only source for hosts that send no heartbeats to this one.
    let revision = |m: &Member| match propagation.confirmed.contains(&m.name) {
        true => m.revision.max(propagation.revision),
        false => m.revision,
    };
    let host = |m: &Member| HostStatus {
        name: m.name.to_string(),
        failure_domain: m.domain.to_string(),
        region: region_of(&m.domain),
        // In a large fleet, most hosts send no heartbeats to this one. They count as live by the
        // platform's host list.
        live: m.is_live(now) || !node.is_small_fleet() && m.may_be_live(now),
        leaving: !m.takes_new_work(),
        revision: revision(m),
        weight: m.weight,
    };
    let ownership_of =
        |(name, grant): (&elmstream::id::Name, &elmstream::allotment::Grant)| Ownership {
            backend_server: name.to_string(),
            owner: grant.owner.as_ref().map(ToString::to_string).unwrap_or_default(),
            draining: catalog
                .backend(name)
                .is_some_and(|id| catalog.is_draining(&catalog.backends[id.index()])),
        };
    let usage = telemetry::process_usage();
    StatusReply {
        host: daemon.settings.name.clone(),
        revision: catalog.revision,
        isolated: node.is_isolated(now),
        hosts: node.members().iter().map(host).collect(),
        services: service_loads(&node, now, &region_of),
        ownership: node.row().grants.iter().map(ownership_of).collect(),
        control: Some(ControlUse {
            processor_us: usage.processor_us,
            uptime_us: clock::uptime_micros(),
            resident_bytes: usage.resident_bytes,
            peer_bytes: daemon.peers.message_bytes(),
        }),
        epoch: node.row().epoch,
        settled: node.row().settled,
        lease_ms: node.lease().until().since(now) / elmstream::time::MILLI,
    }
}

/// Sums of the loads that live hosts report, by service and region.
fn service_loads(
    node: &elmstream::node::Node,
    now: elmstream::time::Time,
    region_of: &dyn Fn(&str) -> String,
) -> Vec<ServiceStatus> {
    let mut service_loads: Vec<ServiceStatus> = Vec::new();
    for member in node.members().iter().filter(|m| m.is_live(now)) {
        let region = region_of(&member.domain);
        for load in &member.loads {
            let is_same_group =
                |s: &&mut ServiceStatus| *s.service == *load.service && s.region == region;
            if let Some(sum) = service_loads.iter_mut().find(is_same_group) {
                sum.slots += load.slots;
                sum.in_flight += load.in_flight;
                sum.queued += load.queued;
                continue;
            }
            service_loads.push(ServiceStatus {
                service: load.service.to_string(),
                region: region.clone(),
                slots: load.slots,
                in_flight: load.in_flight,
                queued: load.queued,
            });
        }
    }
    service_loads
}

fn explain(daemon: &Daemon, request: &ExplainRequest) -> ExplainReply {
    let lines = match request.request.is_empty() {
        false => explain_request(daemon, &request.request),
        true => explain_lookup(daemon, request),
    };
    match lines {
        Ok(lines) => ExplainReply { code: 0, lines },
        Err(code) => ExplainReply { code: u32::from(code.number()), lines: Vec::new() },
    }
}

fn explain_request(daemon: &Daemon, id: &str) -> Result<Vec<String>, Code> {
    let id = u64::from_str_radix(id, 16).map_err(|_| Code::BadRequest)?;
    let history = daemon.history.borrow();
    history.find(id).map(crate::history::RequestTrace::describe).ok_or(Code::NotFound)
}

fn explain_lookup(daemon: &Daemon, request: &ExplainRequest) -> Result<Vec<String>, Code> {
    let client: IpAddr = request.client.parse().map_err(|_| Code::BadRequest)?;
    let now = clock::now();
    let mut node = daemon.node.borrow_mut();
    let choices = node.lookup(now, client, &request.service).map_err(|r| r.code)?;
    let catalog = node.catalog();
    let site = catalog.blocks.site(client).map(|id| &catalog.sites[id.index()]);
    let home = node.home_region(client).map(|id| &catalog.regions[id.index()].name);
    let from = match (site, home) {
        (Some(site), Some(home)) => {
            format!("{client} is in site {}, home region {home}", site.name)
        }
        (None, Some(home)) => {
            format!("{client} is in no site, home region {home} is this host's region")
        }
        _ => return Err(Code::NotReady),
    };
    let chosen =
        choices.iter().map(|c| format!("{} at {}, weight {}", c.host, c.callers, c.weight));
    let left_out = node.members().iter().filter(|m| !choices.iter().any(|c| c.host == m.name));
    let left_out = left_out.map(|m| {
        let reason =
            if m.is_live(now) { "ranked lower, leaving or drained" } else { "unreachable" };
        format!("{} is not in the answer: {reason}", m.name)
    });
    Ok(std::iter::once(from).chain(chosen).chain(left_out).collect())
}
