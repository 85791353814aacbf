//! A caller's connection, written and read byte by byte.
//!
//! A client library hides when the last byte of a request left and when exactly the
//! connection ended, and it gives up connections on its own.

use std::{io, net::SocketAddr, pin::pin, time::Duration};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};

use crate::world::World;

/// Bytes that are read at once.
const CHUNK: usize = 4 << 10;
/// Time for which an answer that did not come in its time is still waited for: a caller
/// on a busy machine may read late what was there in time, and only an answer that never
/// comes is lost. A host ends within 3 s of its stop.
const LATE: Duration = Duration::from_secs(3);
/// End of an answer's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A whole answer.
#[derive(Debug, Eq, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Whether the connection must not be used again.
    pub close: bool,
    /// The numbered code of a host's own answer; 0 for none.
    pub code: u16,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// By a whole answer.
    Answer(Answer),
    /// The request could not be sent whole.
    NotSent,
    /// The connection ended without a whole answer to a request whose last byte left
    /// at the first of these times; at the second it was seen to have ended.
    Closed(u64, u64),
    /// No whole answer in time; when the last byte had left.
    TimedOut(u64),
    /// What came is no answer to one request.
    Malformed(String),
}

/// A connection that may carry many requests, one after the other.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Requests that were answered on it.
    pub answered_count: u64,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        let connecting = compio::time::timeout(within, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, answered_count: 0 })
    }

    /// Sends a request and reads its answer; only after one the connection may be
    /// used again.
    pub async fn exchange(
        &mut self,
        world: &World,
        request: String,
        within: Duration,
    ) -> ExchangeOutcome {
        let BufResult(written, _) = self.stream.write_all(request.into_bytes()).await;
        if written.is_err() {
            return ExchangeOutcome::NotSent;
        }
        let sent = world.now();
        let read = self.read_late(world, within).await;
        let Some(read) = read else { return ExchangeOutcome::TimedOut(sent) };
        match read {
            Ok(Some(answer)) => {
                self.answered_count += 1;
                ExchangeOutcome::Answer(answer)
            }
            Ok(None) => ExchangeOutcome::Closed(sent, world.now()),
            Err(garbled) => ExchangeOutcome::Malformed(garbled),
        }
    }

    /// Reads one answer in its time or late; none if none comes.
    async fn read_late(
        &mut self,
        world: &World,
        within: Duration,
    ) -> Option<Result<Option<Answer>, String>> {
        let mut reading = pin!(self.read());
        if let Ok(read) = compio::time::timeout(within, reading.as_mut()).await {
            return Some(read);
        }
        world.ledger.borrow_mut().count("late");
        compio::time::timeout(LATE, reading).await.ok()
    }

    /// Reads one answer; none if the connection ends before.
    async fn read(&mut self) -> Result<Option<Answer>, String> {
        let mut bytes = Vec::new();
        loop {
            let BufResult(read, chunk) = self.stream.read(Vec::with_capacity(CHUNK)).await;
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

/// The answer in these bytes; none if more must come.
///
/// Hosts give the length of each body, as they read it whole before they pass it on.
pub fn parse_answer(bytes: &[u8]) -> Result<Option<Answer>, String> {
    let Some(end) = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]);
    let body = &bytes[end + HEAD_END.len()..];
    let mut lines = head.lines();
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let status = status.ok_or_else(|| format!("an answer begins with {first:?}"))?;
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
    let length = length.ok_or_else(|| format!("an answer without a length: {head:?}"))?;
    if body.len() > length {
        return Err(format!("{} bytes beyond an answer", body.len() - length));
    }
    let whole = body.len() == length;
    let body = String::from_utf8_lossy(body).into_owned();
    Ok(whole.then_some(Answer { status, body, close, code }))
}
