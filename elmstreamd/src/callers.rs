//! The callers' side: look-ups and requests over HTTP.

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
use elmstream_http::{LocalBody, body, server::Cut};
use elmstream_proto::{
    header,
    peer::{Open, RequestHead},
};
use http::{HeaderMap, Request, Response, header::HOST};
use http_body::Body;
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::json;

use crate::{
    answer, clock,
    daemon::Daemon,
    forward::{self, Ended, Job},
};

/// Path of look-ups.
const LOOKUP: &str = "/v1/lookup";
/// Tickets that one look-up gives at most.
const TICKETS_MAX: u32 = 1_000;
/// Life of a ticket, in microseconds.
const TICKET_LIFE: u64 = 600 * SECOND;
/// Longest request id of a caller.
const REQUEST_ID_MAX: usize = 200;

/// The answer to a look-up.
#[derive(Debug, Serialize)]
struct LookupAnswer {
    service: String,
    revision: u64,
    ttl_ms: u64,
    entry_hosts: Vec<LookupHost>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tickets: Vec<String>,
}

#[derive(Debug, Serialize)]
struct LookupHost {
    name: String,
    callers: SocketAddr,
    weight: u32,
}

/// Answers one request of a caller.
pub async fn handle(
    daemon: Rc<Daemon>,
    client: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Cut> {
    if request.uri().path() == LOOKUP {
        return Ok(lookup(&daemon, client, &request).unwrap_or_else(answer::refusal));
    }
    Ok(serve(&daemon, client, request).await.unwrap_or_else(answer::refusal))
}

fn refuse(code: Code) -> Refusal {
    Refusal { code, retry_after: SECOND }
}

/// Ranks entry hosts, and issues tickets of this host where they are asked for.
fn lookup(
    daemon: &Daemon,
    client: SocketAddr,
    request: &Request<Incoming>,
) -> Result<Response<LocalBody>, Refusal> {
    let service = query(request, "service").ok_or(refuse(Code::BadRequest))?;
    let wanted = query(request, "tickets").map_or(Some(0), |n| n.parse().ok());
    let wanted: u32 = wanted.ok_or(refuse(Code::BadRequest))?;
    let now = clock::now();
    let mut node = daemon.node.borrow_mut();
    let choices = node.lookup(now, client.ip(), service)?;
    let name = service.into();
    let tickets = node.issue_tickets(now, &name, wanted.min(TICKETS_MAX), TICKET_LIFE);
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

fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Takes a request, by ticket or claim where its service wants them.
async fn serve(
    daemon: &Rc<Daemon>,
    client: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Refusal> {
    let _counted = daemon.count_request()?;
    let (parts, incoming) = request.into_parts();
    let job = job(daemon, client, &parts, incoming)?;
    let priority = daemon.node.borrow().service(job.service).priority;
    if !daemon.admits_priority(priority) {
        return Err(refuse(Code::LowPriority));
    }
    let ticket = text(&parts.headers, header::TICKET);
    if let Some(ticket) = ticket {
        let ticket = daemon.ticket_key.check(ticket).ok_or(refuse(Code::TicketBad))?;
        return Ok(with_ticket(daemon, job, ticket).await.response);
    }
    if job.repeatable {
        return Ok(forward::run(daemon, job).await.response);
    }
    let once = daemon.node.borrow().service(job.service).once;
    match once {
        OncePolicy::TicketOptional => Ok(forward::run(daemon, job).await.response),
        OncePolicy::TicketRequired => Err(refuse(Code::TicketNeeded)),
        OncePolicy::Claim => {
            let id = text(&parts.headers, header::REQUEST_ID).filter(|id| is_key(id));
            let id = id.ok_or(refuse(Code::BadRequest))?.to_owned();
            with_claim(daemon, job, &id).await
        }
    }
}

/// Makes the job of a request: service, home region, deadline.
fn job(
    daemon: &Daemon,
    client: SocketAddr,
    parts: &http::request::Parts,
    incoming: Incoming,
) -> Result<Job, Refusal> {
    let node = daemon.node.borrow();
    let host = text(&parts.headers, HOST.as_str()).or(parts.uri.host());
    let id = node.service_of(text(&parts.headers, header::SERVICE), host)?;
    let service = node.service(id);
    let home = node.home_region(client.ip()).ok_or(refuse(Code::NotReady))?;
    let deadline = service.deadline.min(timeout(&parts.headers)?);
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let has_body = !incoming.is_end_stream();
    let head = RequestHead {
        id: daemon.next_request(),
        service: service.name.clone(),
        home: node.catalog().regions[home.index()].name.clone(),
        method: parts.method.as_str().to_owned(),
        target: target.to_owned(),
        headers: forward::pass_on(&parts.headers),
        has_body,
        remaining_us: deadline,
        max_wait_us: 0,
    };
    Ok(Job {
        repeatable: service.is_repeatable(parts.method.as_str(), parts.uri.path()),
        service: id,
        deadline: clock::now() + deadline,
        body: has_body.then(|| body::boxed(incoming)),
        head,
    })
}

/// The time that the caller gives, in microseconds.
fn timeout(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(value) = headers.get(header::TIMEOUT) else { return Ok(u64::MAX) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    millis.map(|ms| ms.saturating_mul(MILLI)).ok_or(refuse(Code::BadRequest))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a caller's id can be part of a row's key.
fn is_key(id: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !id.is_empty() && id.len() <= REQUEST_ID_MAX && id.chars().all(fits)
}

/// Marks a ticket as ended when this is dropped, also by a cancelled try.
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

/// Runs a ticketed request here if this incarnation issued the ticket, else
/// brings it to the issuer; a ticket of a past incarnation is never run.
pub async fn with_ticket(daemon: &Rc<Daemon>, job: Job, ticket: Ticket) -> Ended {
    let is_here = ticket.issuer == *daemon.node.borrow().me();
    if !is_here {
        return bring(daemon, job, ticket).await;
    }
    let decision = {
        let mut node = daemon.node.borrow_mut();
        node.begin_ticket(clock::now(), &ticket, &job.head.service)
    };
    if let TicketDecision::Answer(code) = decision {
        return end_with(code);
    }
    let mut guard = TicketGuard { daemon: daemon.clone(), id: ticket.id, not_run: false };
    let ended = forward::run(daemon, job).await;
    guard.not_run = ended.outcome == Outcome::NotRun;
    ended
}

async fn bring(daemon: &Rc<Daemon>, job: Job, ticket: Ticket) -> Ended {
    let now = clock::now();
    let is_there = {
        let node = daemon.node.borrow();
        let member = node.members().get(&ticket.issuer.host);
        // Of a host that is no partner the incarnation may not be known; it
        // will tell itself that the ticket is not its own.
        member.is_some_and(|m| {
            m.may_be_live(now) && (!m.has_known_incarnation() || m.host_ref() == ticket.issuer)
        })
    };
    if !is_there {
        return end_with(Code::TicketHostGone);
    }
    let issuer = ticket.issuer.host.clone();
    let open = Open::Ticketed(ticket, job.head.clone());
    forward::bring(daemon, job, &issuer, &open).await
}

fn end_with(code: Code) -> Ended {
    let outcome = code.outcome();
    Ended { response: answer::refusal(refuse(code)), outcome }
}

/// Runs a request under a claim row, which outlives this host.
async fn with_claim(
    daemon: &Rc<Daemon>,
    job: Job,
    id: &str,
) -> Result<Response<LocalBody>, Refusal> {
    let key = format!("claims/{}/{id}", job.head.service);
    let version = claim(daemon, &key, job.head.id).await?;
    let ended = forward::run(daemon, job).await;
    if ended.outcome == Outcome::NotRun {
        let free = json!({ "state": "free" });
        daemon.table.write(&key, &free, version).await;
    }
    Ok(ended.response)
}

/// Claims a request; the version of the claim row, or why it is not ours.
async fn claim(daemon: &Daemon, key: &str, request: u64) -> Result<u64, Refusal> {
    let by = format!("{}/{request:x}", daemon.node.borrow().me());
    let value = json!({ "state": "claimed", "by": by });
    let mut expect = 0;
    for _ in 0..CLAIM_TRIES {
        match daemon.table.write(key, &value, expect).await {
            WriteOutcome::Written(version) => return Ok(version),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
            WriteOutcome::Refused => return Err(refuse(Code::ClaimUnknown)),
        }
        let row = daemon.table.read(key).await.map_err(|_| refuse(Code::ClaimUnknown))?;
        let Some(row) = row else { continue };
        if row.value == value {
            return Ok(row.version);
        }
        if row.value["state"] != "free" {
            return Err(refuse(Code::ClaimTaken));
        }
        expect = row.version;
        compio::time::sleep(CLAIM_PAUSE).await;
    }
    Err(refuse(Code::ClaimUnknown))
}

/// Tries at a claim row before the caller is told that it is unknown.
const CLAIM_TRIES: u32 = 3;
/// Pause between two tries.
const CLAIM_PAUSE: Duration = Duration::from_millis(20);

/// The job of a ticketed request that another entry host brings.
pub fn brought(daemon: &Daemon, head: RequestHead, body: LocalBody) -> Option<Job> {
    let node = daemon.node.borrow();
    let service: ServiceId = node.catalog().service(&head.service)?;
    let path = head.target.split('?').next().unwrap_or("/");
    Some(Job {
        repeatable: node.service(service).is_repeatable(&head.method, path),
        service,
        deadline: clock::now() + head.remaining_us,
        body: head.has_body.then_some(body),
        head,
    })
}
