//! Routing of a request at the entry host that took it: owners are tried one after another.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use compio::quic::{RecvStream, SendStream};
use elmstream::{
    code::{Code, Outcome},
    id::Name,
    message::ServiceLoad,
    request_handling::Refusal,
    route::Attempt,
    time::{MILLI, SECOND, Time},
};
use elmstream_http::{LocalBody, body};
use elmstream_proto::{
    header,
    peer::{AnswerHead, Header, Open, Refused, Reply, RequestHead},
};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;

use crate::{
    answer, clock,
    daemon::Daemon,
    history::{AttemptRecord, RequestTrace},
    owner::{self, DispatchResult},
    peers::{self, BodySender},
};

/// Hop-by-hop headers, which belong to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Most rounds that are repeated for a request while ownership moves to another host.
const OWNERSHIP_WAIT_ROUNDS: u32 = 10;
/// Pause between two such rounds.
const OWNERSHIP_WAIT_PAUSE: Duration = Duration::from_millis(50);
/// Remaining time that a request must have for another round, in microseconds.
const OWNERSHIP_WAIT_TIME_MIN: u64 = 200 * MILLI;

/// Longest time that a request waits for a shift cap or a link limit, in microseconds.
const CAP_WAIT_MAX: u64 = 30 * MILLI;
/// Most bytes of a refused request's body that are read and dropped.
const DISCARD_BYTES_MAX: usize = 64 << 20;
/// Time after which reading the body of a refused request is given up.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that this entry host is routing.
pub struct Job {
    /// Method, target, headers and routing data of the request.
    pub head: RequestHead,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Body; `None` if the request has none or it was already sent to an owner.
    pub body: Option<LocalBody>,
}

impl Job {
    /// Whether the body was already sent to an owner, so that no other owner can get it.
    fn is_body_consumed(&self) -> bool {
        self.head.has_body && self.body.is_none()
    }
}

/// Final result of a request.
pub struct Completion {
    /// Response to the caller.
    pub response: Response<LocalBody>,
    /// Whether the request ran, as the response states it.
    pub outcome: Outcome,
}

/// Result of one round over the owners of a route.
enum RoundResult {
    Completed(Completion),
    /// Nothing has run, and ownership of the servers is moving to another host.
    OwnershipMoving,
}

/// Result of sending a request to one owner.
enum AttemptResult {
    /// The named backend server answered.
    Answered(Response<LocalBody>, Name),
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Failed(Code),
}

/// Runs a request: tries owners one after another until one answers or none is left, and records a
/// trace.
pub async fn run(daemon: &Rc<Daemon>, mut job: Job) -> Completion {
    let mut trace = RequestTrace {
        id: job.head.id,
        service: job.head.service.clone(),
        home: job.head.home.clone(),
        revision: daemon.node.borrow().catalog().revision,
        attempts: Vec::new(),
    };
    let completion = try_owners(daemon, &mut job, &mut trace).await;
    if let Some(body) = job.body.take() {
        // A caller that is still sending its body would not read the response otherwise.
        compio::runtime::spawn(discard(body)).detach();
    }
    daemon.history.borrow_mut().record(trace);
    completion
}

async fn try_owners(daemon: &Rc<Daemon>, job: &mut Job, trace: &mut RequestTrace) -> Completion {
    for _ in 0..OWNERSHIP_WAIT_ROUNDS {
        match try_round(daemon, job, trace).await {
            RoundResult::Completed(completion) => return completion,
            RoundResult::OwnershipMoving => compio::time::sleep(OWNERSHIP_WAIT_PAUSE).await,
        }
    }
    match try_round(daemon, job, trace).await {
        RoundResult::Completed(completion) => completion,
        RoundResult::OwnershipMoving => {
            refused(Refusal { code: Code::NoOwner, retry_after: SECOND })
        }
    }
}

/// Tries each owner of one route.
async fn try_round(daemon: &Rc<Daemon>, job: &mut Job, trace: &mut RequestTrace) -> RoundResult {
    let attempts = match route(daemon, job) {
        Ok(attempts) => attempts,
        Err(refusal) => return conclude(job, refusal, None),
    };
    let mut last = Refusal { code: Code::NoOwner, retry_after: SECOND };
    // Once an attempt may have run, a later refusal must not be reported as "not run".
    let mut may_have_run = None;
    for attempt in attempts {
        let remaining = job.deadline.since(clock::now());
        if remaining == 0 {
            last = Refusal { code: Code::DeadlineTooShort, retry_after: 0 };
            break;
        }
        job.head.remaining_us = remaining;
        job.head.max_wait_us = attempt.max_wait;
        let mut result = try_owner(daemon, job, &attempt).await;
        if let Some(pause) = cap_wait(daemon, job, &result) {
            compio::time::sleep(pause).await;
            result = try_owner(daemon, job, &attempt).await;
        }
        trace.attempts.push(AttemptRecord {
            owner: attempt.owner.host.clone(),
            shifted: attempt.is_shifted(),
            code: result.code(),
        });
        match result {
            AttemptResult::Answered(response, backend) => {
                return RoundResult::Completed(answered(daemon, job, response, &backend));
            }
            AttemptResult::NotRun(refusal) => {
                let mut node = daemon.node.borrow_mut();
                node.record_refusal(clock::now(), &attempt, &job.head.service, &refusal);
                last = refusal;
            }
            AttemptResult::Failed(code) => {
                may_have_run = Some(code);
                if !take_retry(daemon, job) {
                    break;
                }
            }
        }
        if job.is_body_consumed() {
            break;
        }
    }
    conclude(job, last, may_have_run)
}

/// Wait after which an owner whose shift cap or link limit is used up will admit the request.
/// `None` if the refusal has another reason, the wait is too long, or the retry budget is used up.
fn cap_wait(daemon: &Daemon, job: &Job, result: &AttemptResult) -> Option<Duration> {
    let AttemptResult::NotRun(refusal) = result else { return None };
    let is_cap = matches!(refusal.code, Code::ShiftCapped | Code::LinkLimited);
    let is_soon = refusal.retry_after <= CAP_WAIT_MAX;
    let may = is_cap && is_soon && withdraw_retry(daemon, job);
    may.then(|| Duration::from_micros(refusal.retry_after))
}

/// Result of a round in which no owner answered. `last` is the last refusal, `may_have_run` the
/// code of an attempt that may have run.
fn conclude(job: &Job, last: Refusal, may_have_run: Option<Code>) -> RoundResult {
    if let Some(code) = may_have_run {
        return RoundResult::Completed(failed(code));
    }
    let has_time = job.deadline.since(clock::now()) > OWNERSHIP_WAIT_TIME_MIN;
    match is_ownership_moving(last.code) && has_time && !job.is_body_consumed() {
        true => RoundResult::OwnershipMoving,
        false => RoundResult::Completed(refused(last)),
    }
}

/// Whether a refusal means that ownership may be moving to another host.
fn is_ownership_moving(code: Code) -> bool {
    matches!(code, Code::NoOwner | Code::LeaseLapsed | Code::PeerUnreachable | Code::Stopping)
}

/// Owners to try, in order, or why there is none.
fn route(daemon: &Daemon, job: &Job) -> Result<Vec<Attempt>, Refusal> {
    let now = clock::now();
    let mut node = daemon.node.borrow_mut();
    let unknown = Refusal { code: Code::UnknownService, retry_after: 0 };
    let home = node.catalog().region(&job.head.home).ok_or(unknown)?;
    let service = node.catalog().service(&job.head.service).ok_or(unknown)?;
    node.route(now, service, home, job.deadline.since(now))
}

/// Withdraws a retry from the budget of the request's service. Returns whether there was one.
fn withdraw_retry(daemon: &Daemon, job: &Job) -> bool {
    let mut node = daemon.node.borrow_mut();
    let service = node.catalog().service(&job.head.service);
    service.is_some_and(|service| node.withdraw_retry(service))
}

/// Whether a request that may have run may be retried; withdraws the retry from the budget.
fn take_retry(daemon: &Daemon, job: &Job) -> bool {
    job.repeatable && !job.is_body_consumed() && withdraw_retry(daemon, job)
}

async fn try_owner(daemon: &Rc<Daemon>, job: &mut Job, attempt: &Attempt) -> AttemptResult {
    let is_here = attempt.owner == *daemon.node.borrow().me();
    let owner = &attempt.owner.host;
    daemon.node.borrow_mut().record_sent(owner, &job.head.service);
    let result = match is_here {
        true => run_locally(daemon, job).await,
        false => run_remotely(daemon, job, owner).await,
    };
    daemon.node.borrow_mut().record_answer(owner, &job.head.service);
    result
}

/// Runs a request on a backend server that this host owns.
async fn run_locally(daemon: &Rc<Daemon>, job: &mut Job) -> AttemptResult {
    let guard = match owner::admit(daemon, &job.head).await {
        Ok(guard) => guard,
        Err(refusal) => return AttemptResult::NotRun(refusal),
    };
    let body = job.body.take().unwrap_or_else(body::empty);
    match owner::dispatch(guard, &job.head, body).await {
        DispatchResult::Answered(response, slot) => AttemptResult::Answered(response, slot.backend),
        DispatchResult::NotRun(refusal) => AttemptResult::NotRun(refusal),
        DispatchResult::Failed(code) => AttemptResult::Failed(code),
    }
}

/// Sends a request to the host that owns the backend server.
async fn run_remotely(daemon: &Rc<Daemon>, job: &mut Job, owner: &Name) -> AttemptResult {
    let open = Open::Request(job.head.clone());
    exchange(daemon, job, owner, &open).await
}

/// Forwards a request with a ticket to the host that issued the ticket.
pub async fn forward_to_issuer(
    daemon: &Rc<Daemon>,
    mut job: Job,
    issuer: &Name,
    open: &Open,
) -> Completion {
    match exchange(daemon, &mut job, issuer, open).await {
        AttemptResult::Answered(response, backend) => answered(daemon, &job, response, &backend),
        // The issuer may have run the request earlier, before it became unreachable.
        AttemptResult::NotRun(refusal) if refusal.code == Code::PeerUnreachable => {
            failed(Code::TicketHostGone)
        }
        AttemptResult::NotRun(refusal) => refused(refusal),
        AttemptResult::Failed(code) => failed(code),
    }
}

/// Sends a request to another entry host and waits for its reply, until the deadline.
async fn exchange(daemon: &Rc<Daemon>, job: &mut Job, host: &Name, open: &Open) -> AttemptResult {
    let streams = match daemon.peer_address(host) {
        Some(address) => daemon.peers.open(host, address).await,
        None => Err(Code::PeerUnreachable),
    };
    let Ok((send, recv)) = streams else {
        daemon.node.borrow_mut().record_unreachable(clock::now(), host);
        return AttemptResult::NotRun(Refusal { code: Code::PeerUnreachable, retry_after: SECOND });
    };
    let timeout = Duration::from_micros(job.deadline.since(clock::now()));
    let exchange = exchange_on(daemon, job, host, send, recv, open);
    let timed = compio::time::timeout(timeout, exchange).await;
    timed.unwrap_or(AttemptResult::Failed(Code::DeadlinePassed))
}

/// Sends a request over an open stream and waits for the reply.
async fn exchange_on(
    daemon: &Rc<Daemon>,
    job: &mut Job,
    host: &Name,
    send: SendStream,
    mut recv: RecvStream,
    open: &Open,
) -> AttemptResult {
    let mut send = BodySender::new(send);
    if daemon.peers.write(send.stream(), open).await.is_err() {
        return AttemptResult::Failed(Code::PeerLost);
    }
    let mut send = Some(send);
    loop {
        match daemon.peers.read::<Reply>(&mut recv).await {
            Ok(Reply::Admitted) => {
                let body = job.body.take().unwrap_or_else(body::empty);
                if let Some(send) = send.take() {
                    compio::runtime::spawn(async move {
                        // If sending fails, the owner sees a reset stream, and the caller gets
                        // the owner's response.
                        let _ = send.send(body).await;
                    })
                    .detach();
                }
            }
            Ok(Reply::Answer(head)) => {
                record_load(daemon, host, &head.load);
                let backend = head.backend.clone();
                return match response(head, peers::receive_body(recv)) {
                    Some(response) => AttemptResult::Answered(response, backend),
                    None => AttemptResult::Failed(Code::PeerMessage),
                };
            }
            Ok(Reply::Refused(refused)) => {
                record_load(daemon, host, &refused.load);
                return refusal(&refused);
            }
            Ok(_) => return AttemptResult::Failed(Code::PeerMessage),
            Err(_) => return AttemptResult::Failed(Code::PeerLost),
        }
    }
}

/// Records the load that a host reports with its reply.
fn record_load(daemon: &Daemon, host: &Name, load: &Option<ServiceLoad>) {
    if let Some(load) = load {
        daemon.node.borrow_mut().update_owner_load(host, load.clone());
    }
}

/// Converts a host's refusal: the request did not run, or its outcome is unknown.
fn refusal(refused: &Refused) -> AttemptResult {
    let Some(code) = Code::from_number(refused.code) else {
        return AttemptResult::Failed(Code::PeerMessage);
    };
    match code.outcome() {
        Outcome::NotRun => {
            AttemptResult::NotRun(Refusal { code, retry_after: refused.retry_after })
        }
        _ => AttemptResult::Failed(code),
    }
}

/// Builds the response from a host's reply; `None` if the reply is malformed.
fn response(head: AnswerHead, body: LocalBody) -> Option<Response<LocalBody>> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).ok()?;
    for field in head.headers {
        let name = HeaderName::try_from(field.name).ok()?;
        let value = HeaderValue::from_bytes(&field.value).ok()?;
        response.headers_mut().append(name, value);
    }
    Some(response)
}

/// Completes a request that a backend server answered.
fn answered(
    daemon: &Daemon,
    job: &Job,
    mut response: Response<LocalBody>,
    backend: &Name,
) -> Completion {
    let headers = response.headers_mut();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    // A response that the issuer of a ticket forwards already has an outcome.
    if !headers.contains_key(header::OUTCOME) {
        headers.insert(header::OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
    }
    let served_by = format!("{}/{backend}", daemon.settings.name);
    if let Ok(served_by) = HeaderValue::try_from(served_by) {
        headers.insert(header::SERVED_BY, served_by);
    }
    if let Ok(id) = HeaderValue::try_from(format!("{:x}", job.head.id)) {
        headers.insert(header::REQUEST, id);
    }
    metrics::counter!("elmstream_requests_total", "outcome" => "ran").increment(1);
    Completion { response, outcome: Outcome::Ran }
}

/// Completes a request with a refusal, and counts it by outcome.
fn refused(refusal: Refusal) -> Completion {
    let outcome = refusal.code.outcome();
    metrics::counter!("elmstream_requests_total", "outcome" => outcome.as_str()).increment(1);
    Completion { response: answer::refusal_with_outcome(refusal, outcome), outcome }
}

/// Completes a request with a code, without an owner's refusal.
fn failed(code: Code) -> Completion {
    refused(Refusal { code, retry_after: SECOND })
}

impl AttemptResult {
    fn code(&self) -> Code {
        match self {
            AttemptResult::Answered(..) => Code::Ok,
            AttemptResult::NotRun(refusal) => refusal.code,
            AttemptResult::Failed(code) => *code,
        }
    }
}

/// Reads and drops the rest of a refused request's body, within limits on bytes and time.
async fn discard(mut body: LocalBody) {
    let reading_body = async {
        let mut remaining = DISCARD_BYTES_MAX;
        while let Some(Ok(frame)) = body.frame().await {
            remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining == 0 {
                return;
            }
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, reading_body).await;
}

/// Headers that are forwarded: all but hop-by-hop headers.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let end_to_end = headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    let field = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    end_to_end.map(field).collect()
}
