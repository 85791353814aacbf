//! Answers as callers read them from the bytes of a connection.

use elmstream_soak::wire::{Answer, parse_answer};

#[test]
fn an_answer_is_there_only_when_it_is_whole() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd";
    for length in 0..bytes.len() {
        assert_eq!(parse_answer(&bytes[..length]), Ok(None), "{length} bytes");
    }
    let answer = Answer { status: 200, body: "abcd".into(), close: false, code: 0 };
    assert_eq!(parse_answer(bytes), Ok(Some(answer)));
}

#[test]
fn a_connection_that_is_to_be_closed_is_known() {
    let bytes =
        b"HTTP/1.1 503 Service Unavailable\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n";
    let answer = Answer { status: 503, body: String::new(), close: true, code: 0 };
    assert_eq!(parse_answer(bytes), Ok(Some(answer)));
}

#[test]
fn bytes_that_are_no_answer_to_one_request_are_noticed() {
    assert!(parse_answer(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP").is_err());
    assert!(parse_answer(b"HTTP/1.1 200 OK\r\n\r\n").is_err());
    assert!(parse_answer(b"0\r\n\r\n").is_err());
}
