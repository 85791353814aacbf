//! Pacing of bodies that are sent over a link between regions, to keep the link's limit on bytes a
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

/// Paces a body to the limit of the link from region `home`.
pub fn paced(daemon: &Rc<Daemon>, home: &Name, inner: LocalBody) -> LocalBody {
    let paced_body =
        PacedBody { daemon: daemon.clone(), home: home.clone(), inner, buffered: Bytes::new() };
    body::stream(futures_util::stream::unfold(Some(paced_body), next_chunk))
}

/// A body that is being sent over a link.
struct PacedBody {
    daemon: Rc<Daemon>,
    home: Name,
    inner: LocalBody,
    /// Data that was received and is not sent yet.
    buffered: Bytes,
}

impl PacedBody {
    /// Takes up to `wanted` bytes from the link's limit; returns how many may be sent now.
    fn take_link_bytes(&self, wanted: u64) -> u64 {
        let mut node = self.daemon.node.borrow_mut();
        node.take_link_bytes(clock::now(), &self.home, wanted)
    }
}

/// Returns the next chunk once the limit admits it. An error of the inner body ends this one, too.
async fn next_chunk(
    paced_body: Option<PacedBody>,
) -> Option<(Result<Bytes, BoxError>, Option<PacedBody>)> {
    let mut paced_body = paced_body?;
    while paced_body.buffered.is_empty() {
        match paced_body.inner.frame().await? {
            Ok(frame) => paced_body.buffered = frame.into_data().unwrap_or_default(),
            Err(error) => return Some((Err(error), None)),
        }
    }
    let wanted = paced_body.buffered.len().min(CHUNK_BYTES_MAX) as u64;
    loop {
        let granted = paced_body.take_link_bytes(wanted);
        if granted > 0 {
            let chunk = paced_body.buffered.split_to(granted as usize);
            return Some((Ok(chunk), Some(paced_body)));
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
}
