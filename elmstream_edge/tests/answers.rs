//! Only a backend server's complete response to the caller's own request is forwarded.

mod support;

use elmstream_steer::model::Repeatability;
use support::{Answer, CLOSE_MARK, backend, good, header, ip, run, send_request, serving};

/// What a caller receives if its server responds with `answer`, without retries.
fn response(answer: impl Fn(&str) -> Vec<u8> + 'static) -> Answer {
    let result = std::rc::Rc::new(std::cell::RefCell::new(None));
    let filled = result.clone();
    run(async move || {
        let (address, _) = backend(ip(), answer).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        *filled.borrow_mut() = send_request(host.callers, "id-1", "/thing").await;
    });
    result.take().expect("each request has an answer")
}

fn edited(change: impl Fn(String) -> String + 'static) -> Answer {
    response(move |head| change(String::from_utf8(good(head, "hello")).expect("text")).into_bytes())
}

#[test]
fn valid_response_is_forwarded_unchanged() {
    let answer = edited(|text| text.replace("elmstream-sig", "x-own: 1\r\nelmstream-sig"));
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "hello");
    assert_eq!(answer.headers["x-own"], "1");
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let answer = edited(|text| {
        text.replace(
            "elmstream-sig",
            "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\nelmstream-sig",
        )
    });
    assert_eq!(answer.status, 200);
    assert!(!answer.headers.contains_key("x-hop") && !answer.headers.contains_key("keep-alive"));
}

#[test]
fn response_to_another_request_is_rejected() {
    let answer = edited(|text| text.replace("id-1", "id-0"));
    assert_eq!(answer.status, 502);
    assert!(answer.body.is_empty());
}

#[test]
fn success_without_signature_is_rejected() {
    assert_eq!(edited(|text| text.replace("elmstream-signature: s\r\n", "")).status, 502);
}

#[test]
fn encoded_response_is_rejected() {
    let encoded =
        |text: String| text.replace("elmstream-sig", "content-encoding: gzip\r\nelmstream-sig");
    assert_eq!(edited(encoded).status, 502);
}

#[test]
fn truncated_response_is_rejected() {
    let answer = response(|head| {
        let whole = String::from_utf8(good(head, "hello")).expect("text");
        [whole.replace("length: 5", "length: 50").as_bytes(), CLOSE_MARK].concat()
    });
    assert_eq!(answer.status, 502);
}

#[test]
fn malformed_response_is_rejected() {
    assert_eq!(response(|_| [b"what is this\r\n\r\n", CLOSE_MARK].concat()).status, 502);
}

#[test]
fn response_without_length_ends_at_connection_close() {
    let answer = response(|head| {
        let whole = String::from_utf8(good(head, "hello")).expect("text");
        [whole.replace("content-length: 5", "connection: close").as_bytes(), CLOSE_MARK].concat()
    });
    assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"hello"[..]));
}

#[test]
fn server_error_is_forwarded_unchanged() {
    let answer = edited(|text| text.replace("200 OK", "500 Internal Server Error"));
    assert_eq!(answer.status, 500);
    assert_eq!(answer.headers["elmstream-signature"], "s");
}

#[test]
fn surplus_response_is_never_forwarded() {
    run(async || {
        let (address, _) = backend(ip(), |head| {
            let text = header(head, "elmstream-request").to_owned();
            let own = good(head, &text);
            [own.clone(), own].concat()
        })
        .await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        for n in 0..30 {
            let id = format!("id-{n}");
            let answer = send_request(host.callers, &id, "/thing").await.expect("an answer");
            let own = answer.status == 200 && answer.body == id;
            assert!(own || answer.status == 502, "{id} got {answer:?}");
        }
    });
}

#[test]
fn refusal_of_another_request_is_ignored() {
    for refusal in ["503 Full\r\nelmstream-not-run: 1", "421 Misdirected"] {
        let answer = response(move |_| {
            let text = format!(
                "HTTP/1.1 {refusal}\r\nelmstream-request: id-0\r\ncontent-length: 0\r\n\r\n"
            );
            text.into_bytes()
        });
        assert_eq!(answer.status, 502, "the request itself may have run");
    }
}
