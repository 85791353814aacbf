//! Guards against answers of backend servers that are none, or whose end cannot be told from that of a
//! broken connection: callers of real daemons must not get them as whole answers.

#[allow(dead_code)]
mod support;

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use elmstream_bench::fleet::{Answer, send};
use elmstream_config::Configuration;
use http::Method;
use support::{Running, request, with_fleet, with_headers};

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

/// Answers with bytes behind them, of each kind.
const CASES: usize = 20;
/// Most times that a refused request is sent again, and the pause before.
const REFUSALS_MAX: usize = 20;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

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

/// Runs a test against a fleet whose service "release" has its servers at this address.
fn with_server(address: SocketAddr, test: impl AsyncFnOnce(&mut Running)) {
    let change = |configuration: &mut Configuration| {
        let servers = configuration.backend_servers.iter_mut();
        servers.filter(|server| &*server.service == "release").for_each(|server| {
            server.address = address;
        });
    };
    with_fleet(change, test);
}

#[test]
fn odd_answers_are_not_passed_on_as_whole() {
    let answer = AnswerText::new(Mutex::new(WITHOUT_LENGTH));
    let address = odd_server(answer.clone());
    with_server(address, async |running| {
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
    });
}

/// Starts a server that keeps its connections and answers a request with its header `x-case`; `behind`
/// follows the answer if that begins with "odd".
fn keeping_server(behind: AnswerText) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behind = behind.clone();
            thread::spawn(move || answer_each(stream, &behind));
        }
    });
    address
}

fn answer_each(mut stream: TcpStream, behind: &AnswerText) {
    let (mut bytes, mut head) = ([0; 8_192], String::new());
    while let Ok(length @ 1..) = stream.read(&mut bytes) {
        head += &String::from_utf8_lossy(&bytes[..length]);
        if !head.ends_with("\r\n\r\n") {
            continue;
        }
        let case = head.lines().find_map(|line| line.strip_prefix("x-case: "));
        let body = case.unwrap_or("{\"in_flight\":0}");
        let mut text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if body.starts_with("odd") {
            text += *behind.lock().expect("no panic");
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        head.clear();
    }
}

/// Sends a request with a header `x-case`, again while it is refused: a region may count as full
/// shortly after the start of its hosts.
async fn send_until_admitted(running: &Running, host: usize, case: &str) -> Answer {
    let headers = [("elmstream-request-id", case), ("x-case", case)];
    let send = || running.send_to(host, with_headers(Method::GET, "release", &headers));
    let mut got = send().await;
    for _ in 0..REFUSALS_MAX {
        if got.status != 503 {
            break;
        }
        compio::time::sleep(REFUSAL_PAUSE).await;
        got = send().await;
    }
    got
}

#[test]
fn bytes_behind_an_answer_are_not_the_next_answer() {
    let behind = AnswerText::new(Mutex::new(""));
    let address = keeping_server(behind.clone());
    with_server(address, async |running| {
        let texts = ["hello", "\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale"];
        for (host, text) in (0..3).flat_map(|host| texts.map(|text| (host, text))) {
            *behind.lock().expect("no panic") = text;
            for n in 0..CASES {
                for case in [format!("odd-{n}"), format!("next-{n}")] {
                    let got = send_until_admitted(running, host, &case).await;
                    assert_eq!(
                        (got.status, got.body.as_deref()),
                        (200, Some(case.as_bytes())),
                        "through host {host}, behind the answer: {text:?}"
                    );
                }
            }
        }
    });
}

/// Answers whose bodies break off.
const BROKEN_BODIES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n\0reset",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhel\0reset",
];

/// What a caller that speaks HTTP/1.0 gets until the connection ends.
fn answer_to_old_caller(host: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(host)?;
    let fields = "host: test\r\nelmstream-service: release\r\nelmstream-request-id: old\r\n";
    stream.write_all(format!("GET / HTTP/1.0\r\n{fields}\r\n").as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(answer)
}

/// Without chunks, only a reset tells a body that broke off from a whole one.
#[test]
fn broken_body_without_length_ends_with_a_reset_for_callers_of_http_1_0() {
    let answer = AnswerText::new(Mutex::new(WITHOUT_LENGTH));
    with_server(odd_server(answer.clone()), async |running| {
        for host in &running.fleet.hosts {
            let host = host.settings.listen.callers;
            *answer.lock().expect("no panic") = WITHOUT_LENGTH;
            let whole = answer_to_old_caller(host).expect("an answer");
            assert!(whole.starts_with(b"HTTP/1.0 200 ") && whole.ends_with(b"\r\n\r\nhello"));
            for broken in BROKEN_BODIES {
                *answer.lock().expect("no panic") = broken;
                match answer_to_old_caller(host) {
                    // The body broke off before the head was sent on.
                    Ok(failure) => assert!(failure.starts_with(b"HTTP/1.0 502 "), "{broken:?}"),
                    Err(error) => assert_eq!(error.kind(), io::ErrorKind::ConnectionReset),
                }
            }
        }
    });
}

/// How the connections of requests that were never answered ended.
type Ends = Arc<Mutex<Vec<io::Result<()>>>>;

/// Starts a server that answers probes and nothing else.
fn silent_server(ends: Ends) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ends = ends.clone();
            thread::spawn(move || answer_probes(stream, &ends));
        }
    });
    address
}

fn answer_probes(mut stream: TcpStream, ends: &Ends) {
    let (mut bytes, mut is_request) = ([0; 8_192], false);
    loop {
        let end = match stream.read(&mut bytes) {
            Ok(length @ 1..) => {
                is_request |= !bytes[..length].starts_with(b"GET /load");
                let text = "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"in_flight\":0}";
                if !is_request && stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            Ok(_) => Ok(()),
            Err(error) => Err(error),
        };
        if is_request {
            ends.lock().expect("no panic").push(end);
        }
        return;
    }
}

/// After a plain close the kernel still delivers what a cut path holds up.
#[test]
fn connection_of_a_request_that_is_given_up_is_reset() {
    let ends = Ends::default();
    with_server(silent_server(ends.clone()), async |running| {
        let headers = [("elmstream-request-id", "late"), ("elmstream-timeout-ms", "400")];
        for _ in 0..REFUSALS_MAX {
            running.send_to(0, with_headers(Method::POST, "release", &headers)).await;
            compio::time::sleep(REFUSAL_PAUSE).await;
            if !ends.lock().expect("no panic").is_empty() {
                break;
            }
        }
        let ends = ends.lock().expect("no panic");
        let kinds: Vec<_> =
            ends.iter().map(|end| end.as_ref().map_err(|error| error.kind())).collect();
        assert!(!kinds.is_empty(), "no request was sent");
        assert!(kinds.iter().all(|end| *end == Err(io::ErrorKind::ConnectionReset)), "{kinds:?}");
    });
}
