//! Parsing of answers from the bytes of a caller's connection.

use elmstream_soak::wire::{Answer, parse_answer};

#[test]
fn answer_is_parsed_only_when_complete() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd";
    for length in 0..bytes.len() {
        assert_eq!(parse_answer(&bytes[..length]), Ok(None), "{length} bytes");
    }
    let answer = Answer { status: 200, body: "abcd".into(), close: false, code: 0 };
    assert_eq!(parse_answer(bytes), Ok(Some(answer)));
}

#[test]
fn connection_close_is_recognized() {
    let bytes =
        b"HTTP/1.1 503 Service Unavailable\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n";
    let answer = Answer { status: 503, body: String::new(), close: true, code: 0 };
    assert_eq!(parse_answer(bytes), Ok(Some(answer)));
}

#[test]
fn malformed_answers_are_rejected() {
    assert!(parse_answer(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP").is_err());
    assert!(parse_answer(b"HTTP/1.1 200 OK\r\n\r\n").is_err());
    assert!(parse_answer(b"0\r\n\r\n").is_err());
}
