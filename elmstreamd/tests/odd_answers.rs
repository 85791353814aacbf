//! Guards against answers of backend servers that are none, or whose end cannot be told from that of a
//! broken connection: callers of real daemons must not get them as whole answers.

#[allow(dead_code)]
mod support;

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use elmstream_bench::fleet::send;
use http::Method;
use support::{request, with_fleet};

/// Answers that are not passed on.
const ODD_ANSWERS: [&str; 26] = [
    "HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 600 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 2a0 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nx\x01: 1\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n",
    "HTTP/1.1 200 OK\r\ncontent-le",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel",
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\nhel\0reset",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhel\0reset",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n\0reset",
    "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhel",
    "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx: HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx: yHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OKHTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n\r\nhel",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: gzip\r\n\r\nhello",
];
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello";

/// Marks the end of an answer after which the server resets the connection.
const RESET_MARK: &str = "\0reset";
/// Time between an answer and the reset of its connection, so that the answer is read.
const RESET_PAUSE: Duration = Duration::from_millis(100);

/// What a server sends before it closes the connection.
type AnswerText = Arc<Mutex<&'static str>>;

/// Starts a server whose answers to probes are good.
fn odd_server(answer: AnswerText) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || answer_once(stream, &answer));
        }
    });
    address
}

fn answer_once(mut stream: TcpStream, answer: &AnswerText) {
    let mut bytes = [0; 8_192];
    let Ok(length) = stream.peek(&mut bytes) else { return };
    let probe =
        "HTTP/1.1 200 OK\r\ncontent-length: 15\r\nconnection: close\r\n\r\n{\"in_flight\":0}";
    let text = match bytes[..length].starts_with(b"GET /load") {
        true => probe,
        false => *answer.lock().expect("no panic"),
    };
    if let Some(text) = text.strip_suffix(RESET_MARK) {
        // Closing a connection with unread bytes resets it.
        let _ = stream.write_all(text.as_bytes());
        return thread::sleep(RESET_PAUSE);
    }
    // A connection that the daemon has closed gets no answer. The rest of the request is read, as unread
    // bytes would reset the connection.
    let _ = stream.write_all(text.as_bytes()).and_then(|()| stream.shutdown(Shutdown::Write));
    let _ = io::copy(&mut stream, &mut io::sink());
}

#[test]
fn odd_answers_are_not_passed_on_as_whole() {
    let answer = AnswerText::new(Mutex::new(WITHOUT_LENGTH));
    let address = odd_server(answer.clone());
    with_fleet(
        |configuration| {
            let servers = configuration.backend_servers.iter_mut();
            servers.filter(|server| &*server.service == "release").for_each(|server| {
                server.address = address;
            });
        },
        async |running| {
            for host in 0..3 {
                *answer.lock().expect("no panic") = WITHOUT_LENGTH;
                let whole = running.send_to(host, request(Method::POST, "release", "whole")).await;
                assert_eq!(
                    (whole.status, whole.body.as_deref()),
                    (200, Some(&b"hello"[..])),
                    "through host {host}"
                );
                let mut passed_on = Vec::new();
                for odd in ODD_ANSWERS {
                    *answer.lock().expect("no panic") = odd;
                    let address = running.fleet.hosts[host].settings.listen.callers;
                    let got = send(address, request(Method::POST, "release", "odd")).await;
                    // Without an answer, the connection has failed.
                    let Ok(got) = got else { continue };
                    let is_whole = (100..400).contains(&got.status) && got.body.is_some();
                    if is_whole || got.status > 599 {
                        passed_on.push((odd, got.status));
                    }
                }
                assert_eq!(passed_on, [], "through host {host}");
            }
        },
    );
}
