//! Server for the QUIC streams that other entry hosts open.

use std::{rc::Rc, time::Duration};

use compio::quic::{Connection, RecvStream, SendStream};
use elmstream::{
    code::Code, id::Name, message::ServiceLoad, request_handling::Refusal, tickets::Ticket,
    time::SECOND,
};
use elmstream_http::{LocalBody, body};
use elmstream_proto::{
    header,
    peer::{AnswerHead, Open, Refused, Reply, RequestHead, Revision},
};
use futures_util::{FutureExt, future::select};
use http::Response;

use crate::{
    callers, clock, configuration,
    daemon::Daemon,
    forward,
    owner::{self, DispatchResult},
    paced::paced,
    peers::{self, BodySender},
    ticker,
};

/// Time in which the first message of a stream must have arrived.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts and serves connections until the endpoint is closed.
pub async fn run(daemon: Rc<Daemon>) {
    while let Some(connection) = daemon.peers.accept().await {
        compio::runtime::spawn(serve_connection(daemon.clone(), connection)).detach();
    }
}

async fn serve_connection(daemon: Rc<Daemon>, connection: Connection) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        compio::runtime::spawn(serve_stream(daemon.clone(), send, recv)).detach();
    }
}

async fn serve_stream(daemon: Rc<Daemon>, send: SendStream, mut recv: RecvStream) {
    let mut send = BodySender::new(send);
    let _stream_count = daemon.count_stream();
    let first_message =
        compio::time::timeout(OPEN_TIMEOUT, daemon.peers.read::<Open>(&mut recv)).await;
    let reply = match first_message {
        Ok(Ok(Open::Request(head))) => return serve_request(&daemon, send, recv, head).await,
        Ok(Ok(Open::Ticketed(ticket, head))) => {
            return serve_ticketed(&daemon, send, recv, ticket, head).await;
        }
        Ok(Ok(Open::Push(push))) => Reply::Pushed(configuration::handle_push(&daemon, push).await),
        Ok(Ok(open)) => control_reply(&daemon, open),
        Ok(Err(Code::PeerMessage)) => {
            log::warn!(code = Code::PeerMessage.number(); "received a malformed message from another host");
            malformed_reply()
        }
        _ => return,
    };
    if daemon.peers.write(send.stream(), &reply).await.is_ok() {
        send.finish();
    }
}

/// Returns the reply to a control message: a heartbeat, a fence or a fetch of the configuration.
fn control_reply(daemon: &Rc<Daemon>, open: Open) -> Reply {
    match open {
        Open::Heartbeat(heartbeat) => {
            if heartbeat.revision > daemon.current.borrow().revision {
                daemon.request_poll();
            }
            let reply = daemon.node.borrow_mut().on_heartbeat(clock::now(), &heartbeat);
            // The sender may have just installed or settled an epoch. Ticking now lets this host
            // proceed without waiting for the next interval.
            ticker::tick(daemon);
            Reply::Heartbeat(reply)
        }
        Open::Fence(fence) => Reply::Fence(daemon.node.borrow_mut().on_fence(&fence)),
        Open::Fetch => Reply::Configuration(in_force(daemon)),
        Open::Push(_) | Open::Request(_) | Open::Ticketed(..) => malformed_reply(),
    }
}

fn malformed_reply() -> Reply {
    Reply::Refused(Refused { code: Code::PeerMessage.number(), retry_after: 0, load: None })
}

/// Load and slots of a service on the backend servers that this host owns.
fn service_load(daemon: &Daemon, service: &str) -> Option<ServiceLoad> {
    let node = daemon.node.borrow();
    node.catalog().service(service).map(|id| node.load(clock::now(), id))
}

/// Configuration in force on this host; `None` if there is none.
fn in_force(daemon: &Daemon) -> Option<Revision> {
    let current = daemon.current.borrow();
    let document = current.configuration.to_text();
    (current.revision > 0).then_some(Revision { revision: current.revision, document })
}

/// Runs a request as the owner. It is cancelled if the requesting host stops the stream.
async fn serve_request(
    daemon: &Rc<Daemon>,
    mut send: BodySender,
    recv: RecvStream,
    head: RequestHead,
) {
    let admission = owner::admit(daemon, &head).boxed_local();
    let guard = match until_aborted(&mut send, admission).await {
        Some(Ok(guard)) => guard,
        Some(Err(refusal)) => return send_refusal(daemon, send, refusal, &head.service).await,
        None => return,
    };
    let body = match head.has_body {
        true => {
            if daemon.peers.write(send.stream(), &Reply::Admitted).await.is_err() {
                return;
            }
            limit_on_link(daemon, &head, peers::receive_body(recv))
        }
        false => body::empty(),
    };
    let dispatch = owner::dispatch(guard, &head, body).boxed_local();
    match until_aborted(&mut send, dispatch).await {
        Some(DispatchResult::Answered(response, slot)) => {
            let response = response.map(|body| limit_on_link(daemon, &head, body));
            send_answer(daemon, send, response, slot.backend, &head.service).await;
        }
        Some(DispatchResult::NotRun(refusal)) => {
            send_refusal(daemon, send, refusal, &head.service).await
        }
        Some(DispatchResult::Failed(code)) => {
            let failed = Refusal { code, retry_after: SECOND };
            send_refusal(daemon, send, failed, &head.service).await;
        }
        None => {}
    }
}

/// Limits a body to the rate of the link if the request comes from another region.
fn limit_on_link(daemon: &Rc<Daemon>, head: &RequestHead, body: LocalBody) -> LocalBody {
    let here = daemon.node.borrow().region_name();
    match here.is_some_and(|here| here != head.home) {
        true => paced(daemon, &head.home, body),
        false => body,
    }
}

/// Runs a request with a ticket, which another host forwarded to this one as the issuer.
async fn serve_ticketed(
    daemon: &Rc<Daemon>,
    mut send: BodySender,
    recv: RecvStream,
    ticket: Ticket,
    head: RequestHead,
) {
    let (has_body, service) = (head.has_body, head.service.clone());
    let Some(job) = callers::forwarded_job(daemon, head, peers::receive_body(recv)) else {
        let unknown = Refusal { code: Code::UnknownService, retry_after: 0 };
        return send_refusal(daemon, send, unknown, &service).await;
    };
    if has_body && daemon.peers.write(send.stream(), &Reply::Admitted).await.is_err() {
        return;
    }
    let dispatch = callers::run_with_ticket(daemon, job, ticket).boxed_local();
    let Some(completion) = until_aborted(&mut send, dispatch).await else { return };
    match system_code(&completion.response) {
        Some(code) => {
            let refusal = Refusal { code, retry_after: SECOND };
            send_refusal(daemon, send, refusal, &service).await;
        }
        None => {
            let issuer = daemon.settings.name.as_str().into();
            send_answer(daemon, send, completion.response, issuer, &service).await;
        }
    }
}

/// Code of a response that was generated by the system; `None` for a backend server's answer.
fn system_code(response: &Response<LocalBody>) -> Option<Code> {
    let number = response.headers().get(header::CODE)?.to_str().ok()?.parse().ok()?;
    Code::from_number(number)
}

/// Waits for a future. If the other side stops the stream first, drops the future and returns
/// `None`.
async fn until_aborted<T>(
    send: &mut BodySender,
    future: impl Future<Output = T> + Unpin,
) -> Option<T> {
    let stopped = send.stream().stopped().boxed_local();
    match select(future, stopped).await {
        futures_util::future::Either::Left((value, _)) => Some(value),
        futures_util::future::Either::Right(_) => None,
    }
}

/// Sends a refusal as the last message of a stream.
async fn send_refusal(daemon: &Daemon, mut send: BodySender, refusal: Refusal, service: &str) {
    let reply = Reply::Refused(Refused {
        code: refusal.code.number(),
        retry_after: refusal.retry_after,
        load: service_load(daemon, service),
    });
    if daemon.peers.write(send.stream(), &reply).await.is_ok() {
        send.finish_and_wait().await;
    }
}

/// Sends an answer and its body. If the body fails, the stream is reset.
async fn send_answer(
    daemon: &Daemon,
    mut send: BodySender,
    response: Response<LocalBody>,
    backend: Name,
    service: &str,
) {
    let (parts, body) = response.into_parts();
    let head = AnswerHead {
        status: parts.status.as_u16(),
        headers: forward::end_to_end_headers(&parts.headers),
        backend,
        load: service_load(daemon, service),
    };
    if daemon.peers.write(send.stream(), &Reply::Answer(head)).await.is_ok() {
        let _ = send.send(body).await;
    }
}
