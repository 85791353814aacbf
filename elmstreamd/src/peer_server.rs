//! Serves the streams that other entry hosts open.

use std::{rc::Rc, time::Duration};

use compio::quic::{Connection, RecvStream, SendStream};
use elmstream::{
    code::Code, id::Name, message::ServiceLoad, once::Ticket, serve::Refusal, time::SECOND,
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
    peers::{self, BodySender},
    rate_limit::rate_limited,
    ticker,
};

/// Time in which a stream must have brought its first message.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes connections until the endpoint is closed.
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
    let _serving = daemon.count_stream();
    let opening = compio::time::timeout(OPEN_TIMEOUT, daemon.peers.read::<Open>(&mut recv)).await;
    let reply = match opening {
        Ok(Ok(Open::Request(head))) => return serve_request(&daemon, send, recv, head).await,
        Ok(Ok(Open::Ticketed(ticket, head))) => {
            return serve_ticketed(&daemon, send, recv, ticket, head).await;
        }
        Ok(Ok(Open::Push(push))) => Reply::Pushed(configuration::handle_push(&daemon, push).await),
        Ok(Ok(open)) => control(&daemon, open),
        Ok(Err(Code::PeerMessage)) => {
            log::warn!(code = Code::PeerMessage.number(); "a malformed message of another host");
            malformed()
        }
        _ => return,
    };
    if daemon.peers.write(send.stream(), &reply).await.is_ok() {
        send.finish();
    }
}

/// Answers a message of control.
fn control(daemon: &Rc<Daemon>, open: Open) -> Reply {
    match open {
        Open::Heartbeat(beat) => {
            if beat.revision > daemon.current.borrow().revision {
                daemon.request_poll();
            }
            let reply = daemon.node.borrow_mut().heartbeat(clock::now(), &beat);
            // An epoch that was just taken or settled there moves ours forward.
            ticker::tick(daemon);
            Reply::Heartbeat(reply)
        }
        Open::Fence(fence) => Reply::Fence(daemon.node.borrow_mut().fence(&fence)),
        Open::Fetch => Reply::Configuration(in_force(daemon)),
        Open::Push(_) | Open::Request(_) | Open::Ticketed(..) => malformed(),
    }
}

fn malformed() -> Reply {
    Reply::Refused(Refused { code: Code::PeerMessage.number(), retry_after: 0, load: None })
}

/// What this host owns of a service now.
fn load(daemon: &Daemon, service: &str) -> Option<ServiceLoad> {
    let node = daemon.node.borrow();
    node.catalog().service(service).map(|id| node.load(clock::now(), id))
}

fn in_force(daemon: &Daemon) -> Option<Revision> {
    let current = daemon.current.borrow();
    let document = current.configuration.to_text();
    (current.revision > 0).then_some(Revision { revision: current.revision, document })
}

/// Runs a request as owner; it ends when the asking host turns away.
async fn serve_request(
    daemon: &Rc<Daemon>,
    mut send: BodySender,
    recv: RecvStream,
    head: RequestHead,
) {
    let admitting = owner::admit(daemon, &head).boxed_local();
    let guard = match until_stopped(&mut send, admitting).await {
        Some(Ok(guard)) => guard,
        Some(Err(refusal)) => return refuse(daemon, send, refusal, &head.service).await,
        None => return,
    };
    let body = match head.has_body {
        true => {
            if daemon.peers.write(send.stream(), &Reply::Admitted).await.is_err() {
                return;
            }
            cross(daemon, &head, peers::receive_body(recv))
        }
        false => body::empty(),
    };
    let running = owner::dispatch(guard, &head, body).boxed_local();
    match until_stopped(&mut send, running).await {
        Some(DispatchResult::Answered(response, slot)) => {
            let response = response.map(|body| cross(daemon, &head, body));
            answer(daemon, send, response, slot.backend, &head.service).await;
        }
        Some(DispatchResult::NotRun(refusal)) => refuse(daemon, send, refusal, &head.service).await,
        Some(DispatchResult::Failed(code)) => {
            let failed = Refusal { code, retry_after: SECOND };
            refuse(daemon, send, failed, &head.service).await;
        }
        None => {}
    }
}

/// A body that passes the link's limit, if the request is another region's.
fn cross(daemon: &Rc<Daemon>, head: &RequestHead, body: LocalBody) -> LocalBody {
    let here = daemon.node.borrow().region_name();
    match here.is_some_and(|here| here != head.home) {
        true => rate_limited(daemon, &head.home, body),
        false => body,
    }
}

/// Runs a request under a ticket that this host issued.
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
        return refuse(daemon, send, unknown, &service).await;
    };
    if has_body && daemon.peers.write(send.stream(), &Reply::Admitted).await.is_err() {
        return;
    }
    let running = callers::run_with_ticket(daemon, job, ticket).boxed_local();
    let Some(ended) = until_stopped(&mut send, running).await else { return };
    match own_code(&ended.response) {
        Some(code) => {
            let refusal = Refusal { code, retry_after: SECOND };
            refuse(daemon, send, refusal, &service).await;
        }
        None => {
            let issuer = daemon.settings.name.as_str().into();
            answer(daemon, send, ended.response, issuer, &service).await;
        }
    }
}

/// The code of an answer that the system made itself.
fn own_code(response: &Response<LocalBody>) -> Option<Code> {
    let number = response.headers().get(header::CODE)?.to_str().ok()?.parse().ok()?;
    Code::from_number(number)
}

/// Waits for a future, or drops it once the other side stops the stream.
async fn until_stopped<T>(
    send: &mut BodySender,
    future: impl Future<Output = T> + Unpin,
) -> Option<T> {
    let stopped = send.stream().stopped().boxed_local();
    match select(future, stopped).await {
        futures_util::future::Either::Left((value, _)) => Some(value),
        futures_util::future::Either::Right(_) => None,
    }
}

async fn refuse(daemon: &Daemon, mut send: BodySender, refusal: Refusal, service: &str) {
    let reply = Reply::Refused(Refused {
        code: refusal.code.number(),
        retry_after: refusal.retry_after,
        load: load(daemon, service),
    });
    if daemon.peers.write(send.stream(), &reply).await.is_ok() {
        send.finish_and_wait().await;
    }
}

/// Sends an answer and its body; a body that fails cuts the stream.
async fn answer(
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
        load: load(daemon, service),
    };
    if daemon.peers.write(send.stream(), &Reply::Answer(head)).await.is_ok() {
        let _ = send.send(body).await;
    }
}
