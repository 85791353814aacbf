//! A request at the entry host that took it: owners are asked in turn.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use compio::quic::{RecvStream, SendStream};
use elmstream::{
    code::{Code, Outcome},
    id::{Name, ServiceId},
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
    history::{Story, Try},
    owner::{self, Run},
    peers::{self, BodySender},
};

/// Headers that belong to one connection and are not passed on.
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

/// Rounds that a request waits through while ownership moves.
const MOVING_ROUNDS: u32 = 10;
/// Pause between two of them.
const MOVING_PAUSE: Duration = Duration::from_millis(50);
/// Time that a request must have left to wait, in microseconds.
const MOVING_DEADLINE_MIN: u64 = 200 * MILLI;

/// Longest pause that a request makes before a cap, in microseconds.
const CAP_PAUSE_MAX: u64 = 30 * MILLI;
/// Bytes of a refused request that are read and dropped at most.
const DISCARD_MAX: usize = 64 << 20;
/// Time that this may take.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// A request on its way through this entry host.
pub struct Job {
    /// The request without its body.
    pub head: RequestHead,
    /// The service.
    pub service: ServiceId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it must be answered.
    pub deadline: Time,
    /// Its body, until it is handed on.
    pub body: Option<LocalBody>,
}

impl Job {
    /// Whether its body was handed on, so that nobody else can get it.
    fn is_spent(&self) -> bool {
        self.head.has_body && self.body.is_none()
    }
}

/// How a request ended.
pub struct Ended {
    /// The answer to the caller.
    pub response: Response<LocalBody>,
    /// What the caller may conclude.
    pub outcome: Outcome,
}

/// How one round over the owners ended.
enum Round {
    Ended(Ended),
    /// Nothing was run, and ownership is passing to another host.
    Moving,
}

/// How one owner's try ended.
enum Tried {
    Answered(Response<LocalBody>, Name),
    NotRun(Refusal),
    Failed(Code),
}

/// Asks owners in turn until one answers or none is left.
pub async fn run(daemon: &Rc<Daemon>, mut job: Job) -> Ended {
    let mut story = Story {
        id: job.head.id,
        service: job.head.service.clone(),
        home: job.head.home.clone(),
        revision: daemon.node.borrow().catalog().revision,
        tries: Vec::new(),
    };
    let ended = try_owners(daemon, &mut job, &mut story).await;
    if let Some(body) = job.body.take() {
        // A caller that is still sending must be able to read its answer.
        compio::runtime::spawn(discard(body)).detach();
    }
    daemon.history.borrow_mut().keep(story);
    ended
}

async fn try_owners(daemon: &Rc<Daemon>, job: &mut Job, story: &mut Story) -> Ended {
    for _ in 0..MOVING_ROUNDS {
        match try_round(daemon, job, story).await {
            Round::Ended(ended) => return ended,
            Round::Moving => compio::time::sleep(MOVING_PAUSE).await,
        }
    }
    match try_round(daemon, job, story).await {
        Round::Ended(ended) => ended,
        Round::Moving => refused(Refusal { code: Code::NoOwner, retry_after: SECOND }),
    }
}

/// Asks each owner of one route.
async fn try_round(daemon: &Rc<Daemon>, job: &mut Job, story: &mut Story) -> Round {
    let attempts = match route(daemon, job) {
        Ok(attempts) => attempts,
        Err(refusal) => return conclude(job, refusal, None),
    };
    let mut last = Refusal { code: Code::NoOwner, retry_after: SECOND };
    // Once a try may have run, no later refusal makes it "not run".
    let mut may_have_run = None;
    for attempt in attempts {
        let left = job.deadline.since(clock::now());
        if left == 0 {
            last = Refusal { code: Code::DeadlineTooShort, retry_after: 0 };
            break;
        }
        job.head.remaining_us = left;
        job.head.max_wait_us = attempt.max_wait;
        let mut tried = try_one(daemon, job, &attempt).await;
        if let Some(pause) = short_wait(daemon, job, &tried) {
            compio::time::sleep(pause).await;
            tried = try_one(daemon, job, &attempt).await;
        }
        story.tries.push(Try {
            owner: attempt.owner.host.clone(),
            shifted: attempt.is_shifted(),
            code: tried.code(),
        });
        match tried {
            Tried::Answered(response, backend) => {
                return Round::Ended(answered(daemon, job, response, &backend));
            }
            Tried::NotRun(refusal) => {
                let mut node = daemon.node.borrow_mut();
                node.record_refusal(clock::now(), &attempt, &job.head.service, &refusal);
                last = refusal;
            }
            Tried::Failed(code) => {
                may_have_run = Some(code);
                if !may_repeat(daemon, job) {
                    break;
                }
            }
        }
        if job.is_spent() {
            break;
        }
    }
    conclude(job, last, may_have_run)
}

/// The pause after which an owner that is at a cap will let the request pass,
/// if that is soon and the retry budget has it.
fn short_wait(daemon: &Daemon, job: &Job, tried: &Tried) -> Option<Duration> {
    let Tried::NotRun(refusal) = tried else { return None };
    let is_cap = matches!(refusal.code, Code::ShiftCapped | Code::LinkLimited);
    let is_soon = refusal.retry_after <= CAP_PAUSE_MAX;
    let may = is_cap && is_soon && daemon.node.borrow_mut().withdraw_retry(job.service);
    may.then(|| Duration::from_micros(refusal.retry_after))
}

/// The end of a round in which no owner answered.
fn conclude(job: &Job, last: Refusal, may_have_run: Option<Code>) -> Round {
    if let Some(code) = may_have_run {
        return Round::Ended(failed(code));
    }
    let has_time = job.deadline.since(clock::now()) > MOVING_DEADLINE_MIN;
    match is_moving(last.code) && has_time && !job.is_spent() {
        true => Round::Moving,
        false => Round::Ended(refused(last)),
    }
}

/// Whether a refusal means that ownership is passing to another host.
fn is_moving(code: Code) -> bool {
    matches!(code, Code::NoOwner | Code::LeaseLapsed | Code::PeerUnreachable | Code::Stopping)
}

fn route(daemon: &Daemon, job: &Job) -> Result<Vec<Attempt>, Refusal> {
    let now = clock::now();
    let mut node = daemon.node.borrow_mut();
    let unknown = Refusal { code: Code::UnknownService, retry_after: 0 };
    let home = node.catalog().region(&job.head.home).ok_or(unknown)?;
    node.route(now, job.service, home, job.deadline.since(now))
}

/// Whether a request that may have run may be tried again.
fn may_repeat(daemon: &Daemon, job: &Job) -> bool {
    job.repeatable && !job.is_spent() && daemon.node.borrow_mut().withdraw_retry(job.service)
}

async fn try_one(daemon: &Rc<Daemon>, job: &mut Job, attempt: &Attempt) -> Tried {
    let is_here = attempt.owner == *daemon.node.borrow().me();
    let owner = &attempt.owner.host;
    daemon.node.borrow_mut().record_sent(owner, &job.head.service);
    let tried = match is_here {
        true => try_here(daemon, job).await,
        false => try_there(daemon, job, owner).await,
    };
    daemon.node.borrow_mut().record_answer(owner, &job.head.service);
    tried
}

/// This host is the owner.
async fn try_here(daemon: &Rc<Daemon>, job: &mut Job) -> Tried {
    let guard = match owner::admit(daemon, &job.head).await {
        Ok(guard) => guard,
        Err(refusal) => return Tried::NotRun(refusal),
    };
    let body = job.body.take().unwrap_or_else(body::empty);
    match owner::dispatch(guard, &job.head, body).await {
        Run::Answered(response, slot) => Tried::Answered(response, slot.backend),
        Run::NotRun(refusal) => Tried::NotRun(refusal),
        Run::Failed(code) => Tried::Failed(code),
    }
}

/// Another host is the owner.
async fn try_there(daemon: &Rc<Daemon>, job: &mut Job, owner: &Name) -> Tried {
    let open = Open::Request(job.head.clone());
    exchange(daemon, job, owner, &open).await
}

/// Brings a ticketed request to the host that issued its ticket.
pub async fn bring(daemon: &Rc<Daemon>, mut job: Job, issuer: &Name, open: &Open) -> Ended {
    match exchange(daemon, &mut job, issuer, open).await {
        Tried::Answered(response, backend) => answered(daemon, &job, response, &backend),
        // The issuer may have run it before contact was lost.
        Tried::NotRun(refusal) if refusal.code == Code::PeerUnreachable => {
            failed(Code::TicketHostGone)
        }
        Tried::NotRun(refusal) => refused(refusal),
        Tried::Failed(code) => failed(code),
    }
}

async fn exchange(daemon: &Rc<Daemon>, job: &mut Job, host: &Name, open: &Open) -> Tried {
    let streams = match daemon.peer_address(host) {
        Some(address) => daemon.peers.open(host, address).await,
        None => Err(Code::PeerUnreachable),
    };
    let Ok((send, recv)) = streams else {
        daemon.node.borrow_mut().record_unreachable(clock::now(), host);
        return Tried::NotRun(Refusal { code: Code::PeerUnreachable, retry_after: SECOND });
    };
    let within = Duration::from_micros(job.deadline.since(clock::now()));
    let exchanging = exchange_on(daemon, job, host, send, recv, open);
    let timed = compio::time::timeout(within, exchanging).await;
    timed.unwrap_or(Tried::Failed(Code::DeadlinePassed))
}

async fn exchange_on(
    daemon: &Rc<Daemon>,
    job: &mut Job,
    host: &Name,
    send: SendStream,
    mut recv: RecvStream,
    open: &Open,
) -> Tried {
    let mut send = BodySender::new(send);
    if daemon.peers.write(send.stream(), open).await.is_err() {
        return Tried::Failed(Code::PeerLost);
    }
    let mut send = Some(send);
    loop {
        match daemon.peers.read::<Reply>(&mut recv).await {
            Ok(Reply::Admitted) => {
                let body = job.body.take().unwrap_or_else(body::empty);
                if let Some(send) = send.take() {
                    compio::runtime::spawn(async move {
                        // The owner sees the cut; the answer tells the caller.
                        let _ = send.send(body).await;
                    })
                    .detach();
                }
            }
            Ok(Reply::Answer(head)) => {
                take_load(daemon, host, &head.load);
                let backend = head.backend.clone();
                return match response(head, peers::receive(recv)) {
                    Some(response) => Tried::Answered(response, backend),
                    None => Tried::Failed(Code::PeerMessage),
                };
            }
            Ok(Reply::Refused(refused)) => {
                take_load(daemon, host, &refused.load);
                return refusal(&refused);
            }
            Ok(_) => return Tried::Failed(Code::PeerMessage),
            Err(_) => return Tried::Failed(Code::PeerLost),
        }
    }
}

/// Notes what an owner says of its load with an answer.
fn take_load(daemon: &Daemon, host: &Name, load: &Option<ServiceLoad>) {
    if let Some(load) = load {
        daemon.node.borrow_mut().update_owner_load(host, load.clone());
    }
}

/// An owner's refusal: not run, or a failure whose outcome is unknown.
fn refusal(refused: &Refused) -> Tried {
    let Some(code) = Code::from_number(refused.code) else {
        return Tried::Failed(Code::PeerMessage);
    };
    match code.outcome() {
        Outcome::NotRun => Tried::NotRun(Refusal { code, retry_after: refused.retry_after }),
        _ => Tried::Failed(code),
    }
}

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

fn answered(
    daemon: &Daemon,
    job: &Job,
    mut response: Response<LocalBody>,
    backend: &Name,
) -> Ended {
    let headers = response.headers_mut();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    // An answer that an issuer passes on keeps the outcome that it stated.
    if !headers.contains_key(header::OUTCOME) {
        headers.insert(header::OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
    }
    let by = format!("{}/{backend}", daemon.settings.name);
    if let Ok(by) = HeaderValue::try_from(by) {
        headers.insert(header::SERVED_BY, by);
    }
    if let Ok(id) = HeaderValue::try_from(format!("{:x}", job.head.id)) {
        headers.insert(header::REQUEST, id);
    }
    metrics::counter!("elmstream_requests_total", "outcome" => "ran").increment(1);
    Ended { response, outcome: Outcome::Ran }
}

fn refused(refusal: Refusal) -> Ended {
    let outcome = refusal.code.outcome();
    metrics::counter!("elmstream_requests_total", "outcome" => outcome.as_str()).increment(1);
    Ended { response: answer::with_outcome(refusal, outcome), outcome }
}

fn failed(code: Code) -> Ended {
    refused(Refusal { code, retry_after: SECOND })
}

impl Tried {
    fn code(&self) -> Code {
        match self {
            Tried::Answered(..) => Code::Ok,
            Tried::NotRun(refusal) => refusal.code,
            Tried::Failed(code) => *code,
        }
    }
}

/// Reads what a refused caller still sends, within bounds.
async fn discard(mut body: LocalBody) {
    let reading = async {
        let mut left = DISCARD_MAX;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    let _ = compio::time::timeout(DISCARD_TIME, reading).await;
}

/// Headers to be passed on.
pub fn pass_on(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    let field = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    kept.map(field).collect()
}
