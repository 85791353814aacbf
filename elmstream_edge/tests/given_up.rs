//! How connections to backend servers end: with a reset if their request was given up.

mod support;

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use elmstream_edge::backend::{Exchange, Pool, request_body};
use elmstream_http::LocalBody;
use elmstream_steer::{model::Repeatability, view::RowKey};
use http::Request;
use support::{Store, configuration, ip, run, send_request, server, settings, start_with, until};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which an answer arrives and is read.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// How connections ended, as their server saw it: `Ok` for the end of the stream.
type Ends = Rc<RefCell<Vec<Result<(), io::ErrorKind>>>>;

/// A server that sends a text for each request and keeps its connections open.
async fn keeping_server(text: &'static str) -> (SocketAddr, Ends) {
    let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let ends = Ends::default();
    let seen = ends.clone();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = seen.clone();
            compio::runtime::spawn(async move {
                let end = answer_until_end(stream, text).await;
                seen.borrow_mut().push(end);
            })
            .detach();
        }
    })
    .detach();
    (address, ends)
}

async fn answer_until_end(mut stream: TcpStream, text: &str) -> Result<(), io::ErrorKind> {
    loop {
        let BufResult(read, _) = stream.read(Vec::with_capacity(65_536)).await;
        if read.map_err(|error| error.kind())? == 0 {
            return Ok(());
        }
        if !text.is_empty() {
            stream.write_all(text.to_owned()).await.0.map_err(|error| error.kind())?;
        }
    }
}

fn request() -> Request<LocalBody> {
    let request = Request::builder().uri("/").header("host", "shop.example");
    request.body(request_body(&Vec::new().into())).expect("a request")
}

/// The result of an exchange with a server that sends a text, if there is one in time, and how the
/// connection ended once the pool dropped it.
async fn exchange_with(text: &'static str) -> (Option<Exchange>, Result<(), io::ErrorKind>) {
    let (address, ends) = keeping_server(text).await;
    let pool = Pool::default();
    let exchange = pool.exchange("s", address, || Some(request()));
    let exchange = compio::time::timeout(ANSWER_TIME, exchange).await.ok();
    pool.discard_connections("s");
    assert!(until(TIMEOUT, || !ends.borrow().is_empty()).await, "it stays open: {text:?}");
    let end = ends.borrow()[0];
    (exchange, end)
}

#[test]
fn connection_is_reset_unless_its_answer_is_whole() {
    run(async || {
        let texts = [
            "",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\nhello\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 2a0 OK\r\ncontent-length: 5\r\n\r\nhello",
        ];
        for text in texts {
            let (exchange, end) = exchange_with(text).await;
            assert!(!matches!(exchange, Some(Exchange::Whole(..))), "{text:?}: {exchange:?}");
            assert_eq!(end, Err(io::ErrorKind::ConnectionReset), "{text:?}: {exchange:?}");
        }
    });
}

#[test]
fn connection_whose_answer_is_whole_is_closed_in_good_order() {
    run(async || {
        let texts = [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
        ];
        for text in texts {
            let (exchange, end) = exchange_with(text).await;
            assert!(matches!(exchange, Some(Exchange::Whole(..))), "{text:?}: {exchange:?}");
            assert_eq!(end, Ok(()), "{text:?}");
        }
    });
}

#[test]
fn connection_over_which_nothing_is_sent_is_closed_in_good_order() {
    run(async || {
        let (address, ends) = keeping_server("").await;
        let exchange = Pool::default().exchange("s", address, || None).await;
        assert!(matches!(exchange, Exchange::NoTime), "{exchange:?}");
        assert!(until(TIMEOUT, || !ends.borrow().is_empty()).await);
        assert_eq!(*ends.borrow(), vec![Ok(())]);
    });
}

/// The descriptor of a connection that the server closed is not kept with the idle ones.
#[test]
fn idle_connection_that_the_server_closed_is_closed_at_once() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let serving = compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(Vec::with_capacity(65_536)).await;
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(text).await.0.expect("it is open");
            stream.shutdown().await.expect("it is open");
            let BufResult(read, _) = stream.read(Vec::with_capacity(1)).await;
            read.map_err(|error| error.kind())
        });
        let pool = Pool::default();
        let exchange = pool.exchange("s", address, || Some(request())).await;
        assert!(matches!(exchange, Exchange::Whole(..)), "{exchange:?}");
        let end = compio::time::timeout(TIMEOUT, serving).await.expect("its end is seen");
        assert_eq!(end.expect("it ends"), Ok(0));
    });
}

/// After a plain close the kernel still delivers what a cut path holds up.
#[test]
fn connection_of_a_request_that_is_given_up_is_reset() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let ends: Rc<RefCell<Vec<io::Result<usize>>>> = Rc::default();
        let seen = ends.clone();
        compio::runtime::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let seen = seen.clone();
                compio::runtime::spawn(async move {
                    let mut has_head = false;
                    loop {
                        let BufResult(read, _) = stream.read(Vec::with_capacity(65_536)).await;
                        match read {
                            Ok(length) if length > 0 => has_head = true,
                            end if has_head => return seen.borrow_mut().push(end),
                            _ => return,
                        }
                    }
                })
                .detach();
            }
        })
        .detach();
        let store = Store::default();
        store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
        store.put(RowKey::Server("s".into()), Some(server(address)));
        let at = ip();
        let host = start_with(at, settings(at, &[]), &store);
        let is_ready = || host.edge.serves() && host.edge.steer.borrow().has_host_list();
        assert!(until(TIMEOUT, is_ready).await);
        send_request(host.callers, "r", "/").await.expect("an answer");
        assert!(until(TIMEOUT, || !ends.borrow().is_empty()).await);
        let kinds: Vec<_> = ends
            .borrow()
            .iter()
            .map(|end| end.as_ref().map_err(|error| error.kind()).copied())
            .collect();
        assert_eq!(kinds, vec![Err(io::ErrorKind::ConnectionReset)]);
    });
}
