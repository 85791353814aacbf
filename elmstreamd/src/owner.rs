//! A request at the host that owns the backend server: admission to a slot, dispatch, and the
//! backend server's answer.

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
use elmstream_http::{BoxError, LocalBody, body, response_check};
use elmstream_proto::{header, peer::RequestHead};
use futures_channel::oneshot;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

use crate::{clock, daemon::Daemon, pool::Connection};

/// Result of a request at the owner.
pub enum DispatchResult {
    /// The backend server of the slot answered; the body may still be arriving.
    Answered(Response<LocalBody>, Slot),
    /// The request did not run: no byte was sent to a backend server, or the server stated so.
    NotRun(Refusal),
    /// The request may have run.
    Failed(Code),
}

/// Time for which a slot stays occupied after its request was aborted, so that the backend server
/// notices the closed connection before it gets the slot's next request.
const ABORTED_SLOT_HOLD: Duration = Duration::from_millis(100);

/// An occupied slot, which is released when this is dropped.
pub struct SlotGuard {
    daemon: Rc<Daemon>,
    slot: Slot,
    began_at: Time,
    /// Time by which the request must have ended; it includes the wait for the slot.
    deadline: Time,
    /// Result of the run, reported to the node when the slot is released.
    result: RunResult,
    /// Whether the backend server may still be running the request.
    running: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let took = clock::now().since(self.began_at);
        let (daemon, slot, result) = (self.daemon.clone(), self.slot.clone(), self.result);
        if !self.running {
            return release_slot(&daemon, &slot, result, took);
        }
        compio::runtime::spawn(async move {
            compio::time::sleep(ABORTED_SLOT_HOLD).await;
            release_slot(&daemon, &slot, result, took);
        })
        .detach();
    }
}

/// Releases a slot and wakes the requests that get one. `took` is the run's time in microseconds.
fn release_slot(daemon: &Daemon, slot: &Slot, result: RunResult, took: u64) {
    let woken = daemon.node.borrow_mut().finish_run(clock::now(), slot, result, took);
    daemon.wake(&woken);
}

/// A waiting request's entry in the queue, which is removed when this is dropped.
struct QueueGuard {
    daemon: Rc<Daemon>,
    number: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.daemon.wakers.borrow_mut().remove(&self.number);
        let woken = self.daemon.node.borrow_mut().cancel_wait(clock::now(), self.number);
        self.daemon.wake(&woken);
    }
}

/// Gets a slot for a request. If none is free, waits for one for at most `head.patience`.
pub async fn admit(daemon: &Rc<Daemon>, head: &RequestHead) -> Result<SlotGuard, Refusal> {
    let deadline = clock::now() + head.remaining_us;
    let admission_request = OwnerRequest {
        service: &head.service,
        home: &head.home,
        deadline: head.remaining_us,
        max_wait: head.max_wait_us,
    };
    let answer = daemon.node.borrow_mut().request_slot(clock::now(), &admission_request);
    let slot = match answer {
        OwnerAnswer::Run(slot) => slot,
        OwnerAnswer::Wait(number) => wait_for_slot(daemon, number, head).await?,
        OwnerAnswer::Refuse(refusal) => return Err(refusal),
    };
    let began_at = clock::now();
    let (daemon, result) = (daemon.clone(), RunResult::Cancelled);
    Ok(SlotGuard { daemon, slot, began_at, deadline, result, running: false })
}

/// Waits until the request with this queue number gets a slot.
async fn wait_for_slot(
    daemon: &Rc<Daemon>,
    number: u64,
    head: &RequestHead,
) -> Result<Slot, Refusal> {
    let (waker, woken) = oneshot::channel();
    daemon.wakers.borrow_mut().insert(number, waker);
    let queue_guard = QueueGuard { daemon: daemon.clone(), number };
    let timeout = Duration::from_micros(head.max_wait_us.min(head.remaining_us));
    let _ = compio::time::timeout(timeout, woken).await;
    let granted = daemon.node.borrow_mut().take_granted_slot(number);
    drop(queue_guard);
    granted.ok_or(Refusal { code: Code::NoCapacity, retry_after: head.max_wait_us })
}

/// Sends a request to the backend server of its slot and waits for the head of the answer.
pub async fn dispatch(mut guard: SlotGuard, head: &RequestHead, body: LocalBody) -> DispatchResult {
    let daemon = guard.daemon.clone();
    let Some(address) = daemon.backend_address(&guard.slot) else {
        return not_run(Code::NoOwner);
    };
    let Ok(mut connection) = daemon.pool.acquire(address).await else {
        guard.result = RunResult::Failed;
        return not_run(Code::BackendConnect);
    };
    // The wall clock is read before the span is computed, so that a pause in between makes the
    // deadline that the backend server gets earlier, never later.
    let unix_ms_now = clock::unix_ms();
    let span = match daemon.node.borrow().dispatch(clock::now(), &guard.slot, guard.deadline) {
        Ok(span) => span,
        Err(refusal) => return DispatchResult::NotRun(refusal),
    };
    let ends_at = Instant::now() + Duration::from_micros(span.end_within);
    let Some(request) = request(head, body, unix_ms_now, span) else {
        return not_run(Code::BadRequest);
    };
    // A request that is given up is not to arrive at the backend server later.
    connection.driver.set_reset_on_close(true);
    let exchange = connection.sender.try_send_request(request);
    guard.running = true;
    match compio::time::timeout_at(ends_at, exchange).await {
        Ok(Ok(response)) => match response_check::check(&response) {
            Ok(()) if is_refusal(&response) => refused(guard),
            Err(fault) if fault.leaves_head_valid() && is_refusal(&response) => refused(guard),
            Ok(()) => answered(guard, connection, response, ends_at),
            Err(fault) => {
                guard.result = RunResult::Failed;
                let backend = &guard.slot.backend;
                log::warn!(backend:%, fault = fault.name(); "an answer cannot be passed on");
                DispatchResult::Failed(Code::BackendFailed)
            }
        },
        Ok(Err(error)) => {
            guard.result = RunResult::Failed;
            // The client returns the request if no byte of it was written.
            match error.message().is_some() {
                true => {
                    guard.running = false;
                    not_run(Code::BackendConnect)
                }
                false => DispatchResult::Failed(Code::BackendFailed),
            }
        }
        Err(_) => {
            guard.result = RunResult::Failed;
            DispatchResult::Failed(Code::DeadlinePassed)
        }
    }
}

/// Whether the backend server did not run the request.
fn is_refusal(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(header::SHED)
}

fn refused(mut guard: SlotGuard) -> DispatchResult {
    guard.result = RunResult::Failed;
    guard.running = false;
    not_run(Code::BackendShed)
}

fn not_run(code: Code) -> DispatchResult {
    DispatchResult::NotRun(Refusal { code, retry_after: SECOND })
}

/// Builds the request for the backend server, or `None` if the head is malformed. `unix_ms_now` is
/// the wall clock time from which `span` counts, in milliseconds since the Unix epoch.
fn request(
    head: &RequestHead,
    body: LocalBody,
    unix_ms_now: u64,
    span: RunWindow,
) -> Option<Request<LocalBody>> {
    let mut request = Request::builder().method(head.method.as_str()).uri(head.target.as_str());
    let headers = request.headers_mut()?;
    for field in &head.headers {
        let name = HeaderName::try_from(field.name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    headers.insert(header::BEGIN_BY, HeaderValue::from(unix_ms_now + span.begin_within / MILLI));
    headers.insert(header::DEADLINE, HeaderValue::from(unix_ms_now + span.end_within / MILLI));
    request.body(body).ok()
}

/// Passes an answer on. The slot and the connection stay occupied until the body has ended.
fn answered(
    guard: SlotGuard,
    connection: Connection,
    response: Response<Incoming>,
    ends_at: Instant,
) -> DispatchResult {
    let slot = guard.slot.clone();
    let lacks_body = response_check::ends_with_connection(&response);
    let (mut parts, incoming) = response.into_parts();
    // Outcome and code are headers of the system; those of a backend server are dropped.
    parts.headers.remove(header::OUTCOME);
    parts.headers.remove(header::CODE);
    let connection = Some(connection);
    let mut answer_body = AnswerBody { guard, connection, incoming, ends_at, lacks_body };
    if answer_body.incoming.is_end_stream() {
        answer_body.finish();
        return DispatchResult::Answered(Response::from_parts(parts, body::empty()), slot);
    }
    let frames = futures_util::stream::unfold(Some(answer_body), read_frame);
    DispatchResult::Answered(Response::from_parts(parts, body::frames(frames)), slot)
}

/// An answer's body that is being read from the backend server.
struct AnswerBody {
    guard: SlotGuard,
    connection: Option<Connection>,
    incoming: Incoming,
    ends_at: Instant,
    /// The body ends with the connection, and nothing of it has arrived yet.
    lacks_body: bool,
}

/// The server closed the connection behind the head of an answer without a length.
#[derive(Debug, Snafu)]
#[snafu(display("the connection closed behind the head of an answer without a length"))]
struct NoBody;

/// Next frame of a body, with the state to go on with.
type NextFrame = Option<(Result<Frame<Bytes>, BoxError>, Option<AnswerBody>)>;

/// Reads the next frame. A failure or the deadline ends the body with an error, so that it never
/// looks complete.
async fn read_frame(answer_body: Option<AnswerBody>) -> NextFrame {
    let mut answer_body = answer_body?;
    match compio::time::timeout_at(answer_body.ends_at, answer_body.incoming.frame()).await {
        // The receiver may not poll again once it has all bytes of the content length.
        Ok(Some(Ok(frame))) if answer_body.incoming.is_end_stream() => {
            answer_body.finish();
            Some((Ok(frame), None))
        }
        Ok(Some(Ok(frame))) => {
            answer_body.lacks_body = false;
            Some((Ok(frame), Some(answer_body)))
        }
        Ok(None) if answer_body.lacks_body => {
            answer_body.guard.result = RunResult::Failed;
            Some((Err(NoBody.into()), None))
        }
        Ok(None) => {
            answer_body.finish();
            None
        }
        Ok(Some(Err(error))) => {
            answer_body.guard.result = RunResult::Failed;
            Some((Err(error.into()), None))
        }
        Err(elapsed) => {
            answer_body.guard.result = RunResult::Failed;
            Some((Err(elapsed.into()), None))
        }
    }
}

impl AnswerBody {
    /// Releases the connection for another request, as the body is complete.
    fn finish(&mut self) {
        self.guard.result = RunResult::Succeeded;
        self.guard.running = false;
        let Some(connection) = self.connection.take() else { return };
        connection.driver.set_reset_on_close(false);
        let daemon = &self.guard.daemon;
        if let Some(address) = daemon.backend_address(&self.guard.slot) {
            daemon.pool.release(address, connection);
        }
    }
}
