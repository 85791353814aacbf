//! HTTP interface for callers: look-ups of entry hosts, and requests to services.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream::{
    catalog::OncePolicy,
    code::{Code, Outcome},
    id::ServiceId,
    request_handling::Refusal,
    steward::WriteOutcome,
    tickets::{Ticket, TicketDecision, TicketId},
    time::{MILLI, SECOND},
};
use elmstream_http::{LocalBody, RequestBody, body, server::Aborted};
use elmstream_proto::{
    header,
    peer::{Open, RequestHead},
};
use http::{HeaderMap, Request, Response, header::HOST};
use http_body::Body;
use serde::Serialize;
use serde_json::json;

use crate::{
    answer, clock,
    daemon::Daemon,
    forward::{self, Completion, Job},
};

/// URL path of look-ups.
const LOOKUP_PATH: &str = "/v1/lookup";
/// Most tickets that one look-up issues.
const TICKETS_PER_LOOKUP_MAX: u32 = 1_000;
/// Time for which a ticket is valid, in microseconds.
const TICKET_LIFETIME: u64 = 600 * SECOND;
/// Longest request id that a caller may send, in bytes.
const REQUEST_ID_MAX: usize = 200;

/// Response to a look-up, as JSON.
#[derive(Debug, Serialize)]
struct LookupAnswer {
    service: String,
    revision: u64,
    ttl_ms: u64,
    entry_hosts: Vec<LookupHost>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tickets: Vec<String>,
}

/// Entry host in the response to a look-up.
#[derive(Debug, Serialize)]
struct LookupHost {
    name: String,
    callers: SocketAddr,
    weight: u32,
}

/// Answers a look-up or a request to a service.
pub async fn handle(
    daemon: Rc<Daemon>,
    client: SocketAddr,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    if request.uri().path() == LOOKUP_PATH {
        return Ok(lookup(&daemon, client, &request).unwrap_or_else(answer::refusal));
    }
    Ok(serve(&daemon, client, request).await.unwrap_or_else(answer::refusal))
}

/// Refusal with `code` that asks the caller to retry after a second.
fn refusal_of(code: Code) -> Refusal {
    Refusal { code, retry_after: SECOND }
}

/// Answers a look-up: ranks the entry hosts for the client, and issues tickets if requested.
fn lookup(
    daemon: &Daemon,
    client: SocketAddr,
    request: &Request<RequestBody>,
) -> Result<Response<LocalBody>, Refusal> {
    let service = query_value(request, "service").ok_or(refusal_of(Code::BadRequest))?;
    let wanted = query_value(request, "tickets").map_or(Some(0), |n| n.parse().ok());
    let wanted: u32 = wanted.ok_or(refusal_of(Code::BadRequest))?;
    let now = clock::now();
    let mut node = daemon.node.borrow_mut();
    let choices = node.lookup(now, client.ip(), service)?;
    let name = service.into();
    let tickets =
        node.issue_tickets(now, &name, wanted.min(TICKETS_PER_LOOKUP_MAX), TICKET_LIFETIME);
    let host = |c: &elmstream::lookup::RankedHost| LookupHost {
        name: c.host.to_string(),
        callers: c.callers,
        weight: c.weight,
    };
    metrics::counter!("elmstream_lookups_total").increment(1);
    Ok(answer::json(&LookupAnswer {
        service: service.into(),
        revision: node.catalog().revision,
        ttl_ms: daemon.settings.callers.lookup_ttl_ms,
        entry_hosts: choices.iter().map(host).collect(),
        tickets: tickets.iter().filter_map(|t| daemon.ticket_key.sign(t)).collect(),
    }))
}

fn query_value<'a>(request: &'a Request<RequestBody>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Runs a request, with a ticket if it has one, or a claim if its service requires it.
async fn serve(
    daemon: &Rc<Daemon>,
    client: SocketAddr,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Refusal> {
    let _in_flight = daemon.count_request()?;
    let (parts, incoming) = request.into_parts();
    let (job, service) = build_job(daemon, client, &parts, incoming)?;
    let priority = daemon.node.borrow().service(service).priority;
    if !daemon.admits_priority(priority) {
        return Err(refusal_of(Code::LowPriority));
    }
    let ticket = header_text(&parts.headers, header::TICKET);
    if let Some(ticket) = ticket {
        let ticket = daemon.ticket_key.verify(ticket).ok_or(refusal_of(Code::TicketBad))?;
        return Ok(run_with_ticket(daemon, job, ticket).await.response);
    }
    if job.repeatable {
        return Ok(forward::run(daemon, job).await.response);
    }
    let once = daemon.node.borrow().service(service).once;
    match once {
        OncePolicy::TicketOptional => Ok(forward::run(daemon, job).await.response),
        OncePolicy::TicketRequired => Err(refusal_of(Code::TicketNeeded)),
        OncePolicy::Claim => {
            let id = header_text(&parts.headers, header::REQUEST_ID)
                .filter(|id| is_valid_request_id(id));
            let id = id.ok_or(refusal_of(Code::BadRequest))?.to_owned();
            run_with_claim(daemon, job, &id).await
        }
    }
}

/// Builds the job of a request: finds its service, home region and deadline. Returns the service
/// too, by its index in the configuration in force.
fn build_job(
    daemon: &Daemon,
    client: SocketAddr,
    parts: &http::request::Parts,
    incoming: RequestBody,
) -> Result<(Job, ServiceId), Refusal> {
    let node = daemon.node.borrow();
    let host = header_text(&parts.headers, HOST.as_str()).or(parts.uri.host());
    let id = node.service_of(header_text(&parts.headers, header::SERVICE), host)?;
    let service = node.service(id);
    let home = node.home_region(client.ip()).ok_or(refusal_of(Code::NotReady))?;
    let deadline = service.deadline.min(caller_timeout(&parts.headers)?);
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let has_body = !incoming.is_end_stream();
    let head = RequestHead {
        id: daemon.next_request_id(),
        service: service.name.clone(),
        home: node.catalog().regions[home.index()].name.clone(),
        method: parts.method.as_str().to_owned(),
        target: target.to_owned(),
        headers: forward::end_to_end_headers(&parts.headers),
        has_body,
        remaining_us: deadline,
        max_wait_us: 0,
    };
    let job = Job {
        repeatable: service.is_repeatable(parts.method.as_str(), parts.uri.path()),
        deadline: clock::now() + deadline,
        body: has_body.then(|| body::boxed(incoming)),
        head,
    };
    Ok((job, id))
}

/// Timeout that the caller sets in its header, in microseconds; `u64::MAX` if it sets none.
fn caller_timeout(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(value) = headers.get(header::TIMEOUT) else { return Ok(u64::MAX) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    millis.map(|ms| ms.saturating_mul(MILLI)).ok_or(refusal_of(Code::BadRequest))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a caller's request id may be used in the key of a claim row.
fn is_valid_request_id(id: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !id.is_empty() && id.len() <= REQUEST_ID_MAX && id.chars().all(fits)
}

/// Marks a ticket as used when this is dropped, which also covers a cancelled request.
struct TicketGuard {
    daemon: Rc<Daemon>,
    id: TicketId,
    not_run: bool,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.daemon.node.borrow_mut().end_ticket(self.id, self.not_run);
    }
}

/// Runs a request with a ticket at most once.
///
/// It runs here if this incarnation of the host issued the ticket, else it is forwarded to the
/// issuer. Requests with tickets of past incarnations never run, as it is no longer known whether
/// they ran before.
pub async fn run_with_ticket(daemon: &Rc<Daemon>, job: Job, ticket: Ticket) -> Completion {
    let is_issued_here = ticket.issuer == *daemon.node.borrow().me();
    if !is_issued_here {
        return forward_to_issuer(daemon, job, ticket).await;
    }
    let decision = {
        let mut node = daemon.node.borrow_mut();
        node.begin_ticket(clock::now(), &ticket, &job.head.service)
    };
    if let TicketDecision::Answer(code) = decision {
        return completed_with(code);
    }
    let mut guard = TicketGuard { daemon: daemon.clone(), id: ticket.id, not_run: false };
    let completion = forward::run(daemon, job).await;
    guard.not_run = completion.outcome == Outcome::NotRun;
    completion
}

/// Forwards a request to the host that issued its ticket, unless that host is gone or restarted.
async fn forward_to_issuer(daemon: &Rc<Daemon>, job: Job, ticket: Ticket) -> Completion {
    let now = clock::now();
    let may_reach_issuer = {
        let node = daemon.node.borrow();
        let member = node.members().get(&ticket.issuer.host);
        // The incarnation is unknown for hosts that exchange no heartbeats with this one. Such a
        // host checks itself whether it issued the ticket.
        member.is_some_and(|m| {
            m.may_be_live(now) && (!m.has_known_incarnation() || m.host_ref() == ticket.issuer)
        })
    };
    if !may_reach_issuer {
        return completed_with(Code::TicketHostGone);
    }
    let issuer = ticket.issuer.host.clone();
    let open = Open::Ticketed(ticket, job.head.clone());
    forward::forward_to_issuer(daemon, job, &issuer, &open).await
}

fn completed_with(code: Code) -> Completion {
    let outcome = code.outcome();
    Completion { response: answer::refusal(refusal_of(code)), outcome }
}

/// Runs a request after claiming its id in the table service, so that the claim outlives this
/// host. The claim is released if the request did not run.
async fn run_with_claim(
    daemon: &Rc<Daemon>,
    job: Job,
    id: &str,
) -> Result<Response<LocalBody>, Refusal> {
    let key = format!("claims/{}/{id}", job.head.service);
    let version = acquire_claim(daemon, &key, job.head.id).await?;
    let completion = forward::run(daemon, job).await;
    if completion.outcome == Outcome::NotRun {
        let free = json!({ "state": "free" });
        daemon.table.write(&key, &free, version).await;
    }
    Ok(completion.response)
}

/// Claims a request id. Returns the version of the claim row, or why the id could not be claimed.
async fn acquire_claim(daemon: &Daemon, key: &str, request: u64) -> Result<u64, Refusal> {
    let by = format!("{}/{request:x}", daemon.node.borrow().me());
    let value = json!({ "state": "claimed", "by": by });
    let mut expect = 0;
    for _ in 0..CLAIM_ATTEMPTS {
        match daemon.table.write(key, &value, expect).await {
            WriteOutcome::Written(version) => return Ok(version),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
            WriteOutcome::Refused => return Err(refusal_of(Code::ClaimUnknown)),
        }
        let row = daemon.table.read(key).await.map_err(|_| refusal_of(Code::ClaimUnknown))?;
        let Some(row) = row else { continue };
        if row.value == value {
            return Ok(row.version);
        }
        if row.value["state"] != "free" {
            return Err(refusal_of(Code::ClaimTaken));
        }
        expect = row.version;
        compio::time::sleep(CLAIM_PAUSE).await;
    }
    Err(refusal_of(Code::ClaimUnknown))
}

/// Attempts to write a claim row before the claim is reported as unknown.
const CLAIM_ATTEMPTS: u32 = 3;
/// Pause between two attempts.
const CLAIM_PAUSE: Duration = Duration::from_millis(20);

/// Builds the job of a request with a ticket that another entry host forwarded. `None` if the
/// service is unknown here.
pub fn forwarded_job(daemon: &Daemon, head: RequestHead, body: LocalBody) -> Option<Job> {
    let node = daemon.node.borrow();
    let service: ServiceId = node.catalog().service(&head.service)?;
    let path = head.target.split('?').next().unwrap_or("/");
    Some(Job {
        repeatable: node.service(service).is_repeatable(&head.method, path),
        deadline: clock::now() + head.remaining_us,
        body: head.has_body.then_some(body),
        head,
    })
}
