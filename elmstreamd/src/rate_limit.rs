//! Bodies that are sent over a link between regions, throttled to the link's limit on bytes a
//! second.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use elmstream::id::Name;
use elmstream_http::{BoxError, LocalBody, body};
use http_body_util::BodyExt;

use crate::{clock, daemon::Daemon};

/// Most bytes that are requested from the link's limit at a time.
const CHUNK_BYTES_MAX: usize = 16 << 10;
/// Pause before asking again while the link's limit is used up.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Wraps a body so that its data passes only as fast as the link from region `home` allows.
pub fn rate_limited(daemon: &Rc<Daemon>, home: &Name, inner: LocalBody) -> LocalBody {
    let body_state = RateLimitedBody {
        daemon: daemon.clone(),
        home: home.clone(),
        inner,
        buffered: Bytes::new(),
    };
    body::stream(futures_util::stream::unfold(Some(body_state), next_chunk))
}

/// State of a body that is being sent over a link.
struct RateLimitedBody {
    daemon: Rc<Daemon>,
    home: Name,
    inner: LocalBody,
    /// Data that was received and is not sent yet.
    buffered: Bytes,
}

impl RateLimitedBody {
    /// Takes up to `wanted` bytes from the link's limit; returns how many may be sent now.
    fn take_link_bytes(&self, wanted: u64) -> u64 {
        let mut node = self.daemon.node.borrow_mut();
        node.take_link_bytes(clock::now(), &self.home, wanted)
    }
}

/// Returns the next chunk once the limit admits it. An error of the inner body ends this one, too.
async fn next_chunk(
    body_state: Option<RateLimitedBody>,
) -> Option<(Result<Bytes, BoxError>, Option<RateLimitedBody>)> {
    let mut body_state = body_state?;
    while body_state.buffered.is_empty() {
        match body_state.inner.frame().await? {
            Ok(frame) => body_state.buffered = frame.into_data().unwrap_or_default(),
            Err(error) => return Some((Err(error), None)),
        }
    }
    let wanted = body_state.buffered.len().min(CHUNK_BYTES_MAX) as u64;
    loop {
        let granted = body_state.take_link_bytes(wanted);
        if granted > 0 {
            let chunk = body_state.buffered.split_to(granted as usize);
            return Some((Ok(chunk), Some(body_state)));
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
}
