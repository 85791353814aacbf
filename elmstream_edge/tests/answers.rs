//! Only a backend server's whole answer to the caller's own request is passed on.

mod support;

use elmstream_steer::model::Repeatability;
use support::{Answer, CLOSE, ask, backend, good, header, ip, run, serving};

/// What a caller gets when its server answers like this, without repeats.
fn answered(answer: impl Fn(&str) -> Vec<u8> + 'static) -> Answer {
    let result = std::rc::Rc::new(std::cell::RefCell::new(None));
    let filled = result.clone();
    run(async move || {
        let (address, _) = backend(ip(), answer).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        *filled.borrow_mut() = ask(host.callers, "id-1", "/thing").await;
    });
    result.take().expect("each request has an answer")
}

fn edited(change: impl Fn(String) -> String + 'static) -> Answer {
    answered(move |head| change(String::from_utf8(good(head, "hello")).expect("text")).into_bytes())
}

#[test]
fn a_good_answer_comes_as_it_is() {
    let answer = edited(|text| text.replace("elmstream-sig", "x-own: 1\r\nelmstream-sig"));
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "hello");
    assert_eq!(answer.headers["x-own"], "1");
}

#[test]
fn headers_of_the_connection_stay_there() {
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
fn an_answer_to_another_request_is_not_passed_on() {
    let answer = edited(|text| text.replace("id-1", "id-0"));
    assert_eq!(answer.status, 502);
    assert!(answer.body.is_empty());
}

#[test]
fn a_success_without_a_signature_is_not_passed_on() {
    assert_eq!(edited(|text| text.replace("elmstream-signature: s\r\n", "")).status, 502);
}

#[test]
fn an_encoded_answer_is_not_the_servers() {
    let encoded =
        |text: String| text.replace("elmstream-sig", "content-encoding: gzip\r\nelmstream-sig");
    assert_eq!(edited(encoded).status, 502);
}

#[test]
fn a_cut_answer_is_not_passed_on() {
    let answer = answered(|head| {
        let whole = String::from_utf8(good(head, "hello")).expect("text");
        [whole.replace("length: 5", "length: 50").as_bytes(), CLOSE].concat()
    });
    assert_eq!(answer.status, 502);
}

#[test]
fn bytes_that_are_no_answer_are_not_passed_on() {
    assert_eq!(answered(|_| [b"what is this\r\n\r\n", CLOSE].concat()).status, 502);
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let answer = answered(|head| {
        let whole = String::from_utf8(good(head, "hello")).expect("text");
        [whole.replace("content-length: 5\r\n", "").as_bytes(), CLOSE].concat()
    });
    assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"hello"[..]));
}

#[test]
fn a_failure_of_the_server_comes_as_it_is() {
    let answer = edited(|text| text.replace("200 OK", "500 Internal Server Error"));
    assert_eq!(answer.status, 500);
    assert_eq!(answer.headers["elmstream-signature"], "s");
}

#[test]
fn a_surplus_answer_reaches_nobody() {
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
            let answer = ask(host.callers, &id, "/thing").await.expect("an answer");
            let own = answer.status == 200 && answer.body == id;
            assert!(own || answer.status == 502, "{id} got {answer:?}");
        }
    });
}

#[test]
fn a_refusal_of_another_request_is_not_believed() {
    for refusal in ["503 Full\r\nelmstream-not-run: 1", "421 Misdirected"] {
        let answer = answered(move |_| {
            let text = format!(
                "HTTP/1.1 {refusal}\r\nelmstream-request: id-0\r\ncontent-length: 0\r\n\r\n"
            );
            text.into_bytes()
        });
        assert_eq!(answer.status, 502, "the request itself may have run");
    }
}
