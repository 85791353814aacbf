//! A request at its owner: a slot, the dispatch, the backend server's answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use elmstream::{
    admission::{RunResult, Slot},
    code::Code,
    request_handling::{OwnerAnswer, OwnerRequest, Refusal, RunWindow},
    time::{MILLI, SECOND, Time},
};
use elmstream_http::{BoxError, LocalBody, body};
use elmstream_proto::{header, peer::RequestHead};
use futures_channel::oneshot;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{clock, daemon::Daemon, pool::Connection};

/// How a request ended at its owner.
pub enum Run {
    /// The backend server answered; the body may still be on its way.
    Answered(Response<LocalBody>, Slot),
    /// No byte reached a backend server, or it said that it ran nothing.
    NotRun(Refusal),
    /// It may have run.
    Failed(Code),
}

/// Time for which a slot is held after a request was cut, so that the backend
/// server has seen the cut before the slot's next request comes.
const CUT_LINGER: Duration = Duration::from_millis(100);

/// A slot that is given back when this is dropped.
pub struct SlotGuard {
    daemon: Rc<Daemon>,
    slot: Slot,
    began: Time,
    /// When the request must have ended; the wait for the slot counts.
    deadline: Time,
    /// How the run ended; told to the core with the slot.
    result: RunResult,
    /// Whether the backend server may be running the request.
    running: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let took = clock::now().since(self.began);
        let (daemon, slot, result) = (self.daemon.clone(), self.slot.clone(), self.result);
        if !self.running {
            return give_back(&daemon, &slot, result, took);
        }
        compio::runtime::spawn(async move {
            compio::time::sleep(CUT_LINGER).await;
            give_back(&daemon, &slot, result, took);
        })
        .detach();
    }
}

fn give_back(daemon: &Daemon, slot: &Slot, result: RunResult, took: u64) {
    let woken = daemon.node.borrow_mut().finish_run(clock::now(), slot, result, took);
    daemon.wake(&woken);
}

/// A place in the queue that is given up when this is dropped.
struct Waiting {
    daemon: Rc<Daemon>,
    number: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.daemon.wakers.borrow_mut().remove(&self.number);
        let woken = self.daemon.node.borrow_mut().cancel_wait(clock::now(), self.number);
        self.daemon.wake(&woken);
    }
}

/// Gets a slot for a request, or waits for one within its patience.
pub async fn admit(daemon: &Rc<Daemon>, head: &RequestHead) -> Result<SlotGuard, Refusal> {
    let deadline = clock::now() + head.remaining_us;
    let ask = OwnerRequest {
        service: &head.service,
        home: &head.home,
        deadline: head.remaining_us,
        max_wait: head.max_wait_us,
    };
    let answer = daemon.node.borrow_mut().request_slot(clock::now(), &ask);
    let slot = match answer {
        OwnerAnswer::Run(slot) => slot,
        OwnerAnswer::Wait(number) => wait(daemon, number, head).await?,
        OwnerAnswer::Refuse(refusal) => return Err(refusal),
    };
    let began = clock::now();
    let (daemon, result) = (daemon.clone(), RunResult::Cancelled);
    Ok(SlotGuard { daemon, slot, began, deadline, result, running: false })
}

async fn wait(daemon: &Rc<Daemon>, number: u64, head: &RequestHead) -> Result<Slot, Refusal> {
    let (waker, woken) = oneshot::channel();
    daemon.wakers.borrow_mut().insert(number, waker);
    let waiting = Waiting { daemon: daemon.clone(), number };
    let patience = Duration::from_micros(head.max_wait_us.min(head.remaining_us));
    let _ = compio::time::timeout(patience, woken).await;
    let granted = daemon.node.borrow_mut().take_granted_slot(number);
    drop(waiting);
    granted.ok_or(Refusal { code: Code::NoCapacity, retry_after: head.max_wait_us })
}

/// Sends the request to the backend server of the slot.
pub async fn dispatch(mut guard: SlotGuard, head: &RequestHead, body: LocalBody) -> Run {
    let daemon = guard.daemon.clone();
    let Some(address) = daemon.backend_address(&guard.slot) else {
        return not_run(Code::NoOwner);
    };
    let Ok(mut connection) = daemon.pool.take(address).await else {
        guard.result = RunResult::Failed;
        return not_run(Code::BackendConnect);
    };
    // The wall's time is read first: a pause after it makes the deadline that
    // the backend server gets earlier, never later.
    let wall = clock::unix_ms();
    let span = match daemon.node.borrow().dispatch(clock::now(), &guard.slot, guard.deadline) {
        Ok(span) => span,
        Err(refusal) => return Run::NotRun(refusal),
    };
    let until = Instant::now() + Duration::from_micros(span.end_within);
    let Some(request) = request(head, body, wall, span) else {
        return not_run(Code::BadRequest);
    };
    let sending = connection.try_send_request(request);
    guard.running = true;
    match compio::time::timeout_at(until, sending).await {
        Ok(Ok(response)) if response.headers().contains_key(header::SHED) => {
            guard.result = RunResult::Failed;
            guard.running = false;
            not_run(Code::BackendShed)
        }
        Ok(Ok(response)) => answered(guard, connection, response, until),
        Ok(Err(error)) => {
            guard.result = RunResult::Failed;
            // The request comes back if not a byte of it was written.
            match error.message().is_some() {
                true => {
                    guard.running = false;
                    not_run(Code::BackendConnect)
                }
                false => Run::Failed(Code::BackendFailed),
            }
        }
        Err(_) => {
            guard.result = RunResult::Failed;
            Run::Failed(Code::DeadlinePassed)
        }
    }
}

fn not_run(code: Code) -> Run {
    Run::NotRun(Refusal { code, retry_after: SECOND })
}

/// The request as the backend server gets it; `wall` is Unix milliseconds.
fn request(
    head: &RequestHead,
    body: LocalBody,
    wall: u64,
    span: RunWindow,
) -> Option<Request<LocalBody>> {
    let mut request = Request::builder().method(head.method.as_str()).uri(head.target.as_str());
    let headers = request.headers_mut()?;
    for field in &head.headers {
        let name = HeaderName::try_from(field.name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    headers.insert(header::BEGIN_BY, HeaderValue::from(wall + span.begin_within / MILLI));
    headers.insert(header::DEADLINE, HeaderValue::from(wall + span.end_within / MILLI));
    request.body(body).ok()
}

/// Hands the answer on; slot and connection are held to the end of its body.
fn answered(
    guard: SlotGuard,
    connection: Connection,
    response: Response<Incoming>,
    until: Instant,
) -> Run {
    let slot = guard.slot.clone();
    let (mut parts, incoming) = response.into_parts();
    // Only the system itself speaks of outcomes and codes.
    parts.headers.remove(header::OUTCOME);
    parts.headers.remove(header::CODE);
    let mut reading = Reading { guard, connection: Some(connection), incoming, until };
    if reading.incoming.is_end_stream() {
        reading.finish();
        return Run::Answered(Response::from_parts(parts, body::empty()), slot);
    }
    let frames = futures_util::stream::unfold(Some(reading), read_frame);
    Run::Answered(Response::from_parts(parts, body::frames(frames)), slot)
}

/// An answer's body on its way from the backend server.
struct Reading {
    guard: SlotGuard,
    connection: Option<Connection>,
    incoming: Incoming,
    until: Instant,
}

type Step = Option<(Result<Frame<Bytes>, BoxError>, Option<Reading>)>;

/// Reads the next frame; a failure or the deadline cuts the body visibly.
async fn read_frame(reading: Option<Reading>) -> Step {
    let mut reading = reading?;
    match compio::time::timeout_at(reading.until, reading.incoming.frame()).await {
        // The receiver may not ask again once it has all bytes of the length.
        Ok(Some(Ok(frame))) if reading.incoming.is_end_stream() => {
            reading.finish();
            Some((Ok(frame), None))
        }
        Ok(Some(Ok(frame))) => Some((Ok(frame), Some(reading))),
        Ok(None) => {
            reading.finish();
            None
        }
        Ok(Some(Err(error))) => {
            reading.guard.result = RunResult::Failed;
            Some((Err(error.into()), None))
        }
        Err(elapsed) => {
            reading.guard.result = RunResult::Failed;
            Some((Err(elapsed.into()), None))
        }
    }
}

impl Reading {
    /// The body is whole: the connection may carry another request.
    fn finish(&mut self) {
        self.guard.result = RunResult::Succeeded;
        self.guard.running = false;
        let daemon = &self.guard.daemon;
        if let (Some(connection), Some(address)) =
            (self.connection.take(), daemon.backend_address(&self.guard.slot))
        {
            daemon.pool.give(address, connection);
        }
    }
}
