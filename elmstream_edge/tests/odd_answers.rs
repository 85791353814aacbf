//! Guards against answers of backend servers that are none, or whose end cannot be told from that of a
//! broken connection: callers must not get them as answers, and a request that may not be repeated
//! reaches one server once.

mod support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
};
use elmstream_steer::{model::Repeatability, view::RowKey};
use socket2::SockRef;
use support::{
    Answer, CLOSE_MARK, Running, Store, backend, configuration, good, header, ip, run,
    send_request, server, serving, settings, start_with, until,
};

/// Requests to a host with an odd and a good server.
const REQUESTS: usize = 24;

/// A good answer as text.
fn good_text(head: &str) -> String {
    String::from_utf8(good(head, "hello")).expect("text")
}

/// What a caller gets whose only server answers with `answer`; the server gets the request once.
async fn answer_of(answer: impl Fn(&str) -> Vec<u8> + 'static) -> Answer {
    let (address, received) = backend(ip(), answer).await;
    let (_store, host) = serving(Repeatability::Once, &[address]).await;
    let answer = send_request(host.callers, "id-1", "/thing").await.expect("an answer");
    assert_eq!(received.requests.borrow().len(), 1);
    answer
}

/// A host whose requests may all be repeated after the first one, beyond the usual budget for that.
async fn host_with_retries(servers: &[SocketAddr]) -> Running {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    for (n, address) in servers.iter().enumerate() {
        store.put(RowKey::Server(format!("s-{n}")), Some(server(*address)));
    }
    let at = ip();
    let mut settings = settings(at, &[]);
    settings.bounds.retry_ratio = 4.0;
    let host = start_with(at, settings, &store);
    assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
    send_request(host.callers, "first", "/thing").await.expect("an answer");
    host
}

/// Checks that an answer is not passed on: callers of requests that may not be repeated get 502, the
/// others the answer of a good server.
fn assert_not_passed_on(name: &str, answer: impl Fn(&str) -> Vec<u8> + Clone + 'static) {
    run(async || {
        let got = answer_of(answer.clone()).await;
        assert_eq!((got.status.as_u16(), got.body.len()), (502, 0), "{name}: {got:?}");
        assert!(!got.headers.contains_key("elmstream-signature"), "{name}: {got:?}");
        let (odd, _) = backend(ip(), answer.clone()).await;
        let (good, received) = backend(ip(), |head| good(head, "hello")).await;
        let host = host_with_retries(&[odd, good]).await;
        for n in 0..REQUESTS {
            let path = format!("/thing/{n}");
            let got =
                send_request(host.callers, &format!("id-{n}"), &path).await.expect("an answer");
            assert_eq!(
                (got.status.as_u16(), &got.body[..]),
                (200, &b"hello"[..]),
                "{name}: {got:?}"
            );
        }
        assert!(received.requests.borrow().len() >= REQUESTS, "{name}");
    });
}

/// Checks that a change of a good answer is not passed on.
fn assert_change_not_passed_on(name: &str, change: impl Fn(String) -> String + Clone + 'static) {
    assert_not_passed_on(name, move |head| change(good_text(head)).into_bytes());
}

#[test]
fn status_that_does_not_exist_is_not_passed_on() {
    for status in
        ["000 ", "000 OK", "0 OK", "099 OK", "20 OK", "2000 OK", "-200 OK", "600 OK", "999 OK"]
    {
        assert_change_not_passed_on(status, move |text| text.replace("200 OK", status));
    }
}

#[test]
fn status_that_is_not_final_is_not_passed_on() {
    for status in ["101 Switching Protocols", "100 Continue", "103 Early Hints"] {
        assert_not_passed_on(status, move |head| {
            [good_text(head).replace("200 OK", status).as_bytes(), CLOSE_MARK].concat()
        });
    }
}

#[test]
fn blank_or_control_byte_in_the_name_of_a_field_is_not_passed_on() {
    let names = [
        "x y",
        "x ",
        " x",
        "",
        " ",
        "x\ty",
        "x\t",
        "x\0",
        "\0",
        "x\u{1}y",
        "x\u{7f}",
        "x\u{b}",
        "x\ry",
        "x\u{1b}[0m",
        "content-length ",
        "elmstream-request ",
    ];
    for name in names {
        assert_change_not_passed_on(&format!("{name:?}"), move |text| {
            text.replace("elmstream-sig", &format!("{name}: 5\r\nelmstream-sig"))
        });
    }
}

#[test]
fn blank_or_control_byte_in_the_name_of_a_trailer_is_not_passed_on() {
    for name in ["x y", "x\u{1}", "x ", "\0"] {
        assert_change_not_passed_on(&format!("{name:?}"), move |text| {
            let text = text.replace("content-length: 5", "transfer-encoding: chunked");
            text.replace("hello", &format!("5\r\nhello\r\n0\r\n{name}: 1\r\n\r\n"))
        });
    }
}

/// A server that stops in the middle of a head and closes sends no answer, wherever it stops.
#[test]
fn head_that_stops_early_is_not_passed_on() {
    run(async || {
        let cut_at = Rc::new(RefCell::new(0));
        let cut = cut_at.clone();
        let (address, received) =
            backend(ip(), move |head| match header(head, "elmstream-request") {
                id if id.starts_with("whole") => good(head, "hello"),
                _ => [&good(head, "hello")[..*cut.borrow()], CLOSE_MARK].concat(),
            })
            .await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let length = good("elmstream-request: id-000", "hello").len();
        for end in 1..length {
            *cut_at.borrow_mut() = end;
            // The server's connection is kept after this one.
            let whole = send_request(host.callers, &format!("whole-{end}"), "/thing").await;
            assert_eq!(whole.expect("an answer").status, 200);
            let got = send_request(host.callers, &format!("id-{end:03}"), "/thing").await;
            let got = got.expect("an answer");
            assert_eq!((got.status.as_u16(), got.body.len()), (502, 0), "{end} bytes: {got:?}");
        }
        assert_eq!(received.requests.borrow().len(), 2 * (length - 1));
    });
}

/// A refusal is in the head, so a body that cannot be passed on does not make it doubtful.
#[test]
fn refusal_without_length_is_still_a_refusal() {
    for refusal in ["503 Full\r\nelmstream-not-run: 1", "421 Misdirected Request"] {
        for fields in ["", "connection: close\r\n", "transfer-encoding: x\r\n"] {
            run(async move || {
                let (refusing, received) = backend(ip(), move |head| {
                    let id = header(head, "elmstream-request");
                    let text =
                        format!("HTTP/1.1 {refusal}\r\nelmstream-request: {id}\r\n{fields}\r\n");
                    [text.as_bytes(), CLOSE_MARK].concat()
                })
                .await;
                let (_store, host) = serving(Repeatability::Once, &[refusing]).await;
                let got = send_request(host.callers, "id-1", "/thing").await.expect("an answer");
                assert_eq!(got.status, 503, "{refusal:?} {fields:?}");
                assert_eq!(received.requests.borrow().len(), 1);
            });
        }
    }
}

/// The end of the connection is the end of the body where the head says that the connection closes.
#[test]
fn body_without_length_is_passed_on_if_the_head_says_that_the_connection_closes() {
    for closes in ["connection: close", "Connection: x, CLOSE"] {
        run(async move || {
            let answer = move |head: &str| {
                let text = good_text(head).replace("content-length: 5", closes);
                [text.as_bytes(), CLOSE_MARK].concat()
            };
            let got = answer_of(answer).await;
            assert_eq!((got.status.as_u16(), &got.body[..]), (200, &b"hello"[..]), "{closes}");
        });
    }
    run(async || {
        let answer = |head: &str| {
            let text = good_text(head).replace("content-length: 5\r\n", "");
            [text.replace("HTTP/1.1", "HTTP/1.0").as_bytes(), CLOSE_MARK].concat()
        };
        assert_eq!(answer_of(answer).await.status, 200);
    });
}

/// A connection that was to be kept ends in the middle of the body or behind it: nothing tells which.
#[test]
fn body_without_length_is_not_passed_on_if_the_connection_was_to_be_kept() {
    for (version, fields) in [
        ("HTTP/1.1", ""),
        ("HTTP/1.1", "connection: keep-alive\r\n"),
        ("HTTP/1.1", "keep-alive: timeout=5\r\n"),
        ("HTTP/1.1", "x-close: close\r\n"),
        ("HTTP/1.0", "connection: keep-alive\r\n"),
    ] {
        for body in ["hello", "hel", ""] {
            let name = format!("{version} {fields:?} {body:?}");
            assert_not_passed_on(&name, move |head| {
                let text = good_text(head).replace("content-length: 5\r\n", fields);
                let text = text.replace("HTTP/1.1", version).replace("hello", body);
                [text.as_bytes(), CLOSE_MARK].concat()
            });
        }
    }
}

/// A server that ends between the head and the body has sent nothing of the body.
#[test]
fn empty_body_without_length_is_not_passed_on() {
    assert_not_passed_on("empty", |head| {
        let text = good_text(head).replace("content-length: 5", "connection: close");
        [text.replace("hello", "").as_bytes(), CLOSE_MARK].concat()
    });
}

#[test]
fn body_in_another_coding_is_not_passed_on() {
    for coding in ["gzip", "gzip, chunked", "chunked, gzip", "identity", "chunked, chunked", "x"] {
        assert_not_passed_on(coding, move |head| {
            let text = good_text(head);
            let field = format!("connection: close\r\ntransfer-encoding: {coding}");
            let text = text.replace("content-length: 5", &field);
            let text = text.replace("hello", "5\r\nhello\r\n0\r\n\r\n");
            [text.as_bytes(), CLOSE_MARK].concat()
        });
    }
}

/// A reset leaves an answer without a length incomplete.
#[test]
fn body_without_length_is_not_passed_on_after_a_reset() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        compio::runtime::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let read = stream.read(Vec::with_capacity(65_536)).await;
                let head = String::from_utf8(read.1).expect("text");
                let text = good_text(&head).replace("content-length: 5", "connection: close");
                stream.write_all(text.into_bytes()).await.0.expect("it is sent");
                compio::time::sleep(Duration::from_millis(50)).await;
                let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                reset.expect("the option");
            }
        })
        .detach();
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let got = send_request(host.callers, "id-1", "/thing").await.expect("an answer");
        assert_eq!((got.status.as_u16(), got.body.len()), (502, 0), "{got:?}");
    });
}
