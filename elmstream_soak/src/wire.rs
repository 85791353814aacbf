//! A caller's HTTP/1.1 connection, written and read as bytes.
//!
//! A client library hides when the last byte of a request was sent and when exactly the
//! connection ended, and it closes connections by itself.

use std::{io, net::SocketAddr, pin::pin, time::Duration};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};

use crate::world::World;

/// Bytes read at once.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Time for which a late answer is still awaited after its timeout. On a busy machine a
/// caller may read late what arrived in time, and only an answer that never comes counts as
/// lost. A host ends within 3 s of its stop.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Separator between an answer's head and body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete answer.
#[derive(Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The body, as text.
    pub body: String,
    /// Whether the connection must not be used again.
    pub close: bool,
    /// Number of the result code of a host's own answer; 0 if there is none.
    pub code: u16,
}

/// Outcome of an exchange. Times are in milliseconds since the start of the soak.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// A complete answer was received.
    Answer(Answer),
    /// The request could not be sent completely.
    NotSent,
    /// The connection ended before a complete answer. The first value is when the request's
    /// last byte was sent, the second when the end was detected.
    Closed(u64, u64),
    /// No complete answer came in time. The value is when the request's last byte was sent.
    TimedOut(u64),
    /// The received bytes are not one answer; the text says why.
    Malformed(String),
}

/// A connection for any number of requests, one at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Number of requests answered on it.
    pub answered_count: u64,
}

impl Connection {
    /// Opens a connection. Fails if that takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let connecting = compio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, answered_count: 0 })
    }

    /// Sends a request and reads its answer. The connection may be used again only after an
    /// [`Answer`](ExchangeOutcome::Answer).
    pub async fn exchange(
        &mut self,
        world: &World,
        request: String,
        timeout: Duration,
    ) -> ExchangeOutcome {
        let BufResult(written, _) = self.stream.write_all(request.into_bytes()).await;
        if written.is_err() {
            return ExchangeOutcome::NotSent;
        }
        let sent_ms = world.now();
        let read = self.read_with_grace(world, timeout).await;
        let Some(read) = read else { return ExchangeOutcome::TimedOut(sent_ms) };
        match read {
            Ok(Some(answer)) => {
                self.answered_count += 1;
                ExchangeOutcome::Answer(answer)
            }
            Ok(None) => ExchangeOutcome::Closed(sent_ms, world.now()),
            Err(cause) => ExchangeOutcome::Malformed(cause),
        }
    }

    /// Reads one answer within the timeout or late; `None` if none comes.
    async fn read_with_grace(
        &mut self,
        world: &World,
        timeout: Duration,
    ) -> Option<Result<Option<Answer>, String>> {
        let mut reading = pin!(self.read());
        if let Ok(read) = compio::time::timeout(timeout, reading.as_mut()).await {
            return Some(read);
        }
        world.ledger.borrow_mut().count("late");
        compio::time::timeout(LATE_ANSWER_TIMEOUT, reading).await.ok()
    }

    /// Reads one answer; `None` if the connection ends before it is complete.
    async fn read(&mut self) -> Result<Option<Answer>, String> {
        let mut bytes = Vec::new();
        loop {
            let BufResult(read, chunk) =
                self.stream.read(Vec::with_capacity(READ_CHUNK_BYTES)).await;
            match read {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => bytes.extend_from_slice(&chunk),
            }
            if let Some(answer) = parse_answer(&bytes)? {
                return Ok(Some(answer));
            }
        }
    }
}

/// Parses an answer; `None` if it is not complete yet.
///
/// Every answer has to carry its body's length: hosts read bodies completely before they
/// forward them. Fails if the bytes are not exactly one answer.
pub fn parse_answer(bytes: &[u8]) -> Result<Option<Answer>, String> {
    let Some(end) = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]);
    let body = &bytes[end + HEAD_END.len()..];
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let status =
        status.ok_or_else(|| format!("the answer has a malformed status line: {first:?}"))?;
    let (mut length, mut close, mut code) = (None, false, 0);
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "elmstream-code" => code = value.parse().unwrap_or(0),
            "connection" => close = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let length = length.ok_or_else(|| format!("the answer has no content length: {head:?}"))?;
    if body.len() > length {
        return Err(format!("{} bytes after the end of the answer", body.len() - length));
    }
    let complete = body.len() == length;
    let body = String::from_utf8_lossy(body).into_owned();
    Ok(complete.then_some(Answer { status, body, close, code }))
}
