//! Bodies that cross a link between regions, at the pace that the link's limit
//! allows.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use elmstream::id::Name;
use elmstream_http::{BoxError, LocalBody, body};
use http_body_util::BodyExt;

use crate::{clock, daemon::Daemon};

/// Bytes that are asked for at a time.
const PIECE: usize = 16 << 10;
/// Pause before a link that has no room.
const PAUSE: Duration = Duration::from_millis(5);

/// A body whose pieces pass as the link from `home` has room.
pub fn rate_limited(daemon: &Rc<Daemon>, home: &Name, inner: LocalBody) -> LocalBody {
    let crossing =
        RateLimitedBody { daemon: daemon.clone(), home: home.clone(), inner, left: Bytes::new() };
    body::stream(futures_util::stream::unfold(Some(crossing), next_piece))
}

/// A body on its way over a link.
struct RateLimitedBody {
    daemon: Rc<Daemon>,
    home: Name,
    inner: LocalBody,
    /// What has come and has not passed yet.
    left: Bytes,
}

impl RateLimitedBody {
    /// Bytes of `wanted` that the link has room for now.
    fn take(&self, wanted: u64) -> u64 {
        let mut node = self.daemon.node.borrow_mut();
        node.take_link_bytes(clock::now(), &self.home, wanted)
    }
}

/// The next piece that passes; an error of the inner body cuts this one too.
async fn next_piece(
    crossing: Option<RateLimitedBody>,
) -> Option<(Result<Bytes, BoxError>, Option<RateLimitedBody>)> {
    let mut crossing = crossing?;
    while crossing.left.is_empty() {
        match crossing.inner.frame().await? {
            Ok(frame) => crossing.left = frame.into_data().unwrap_or_default(),
            Err(error) => return Some((Err(error), None)),
        }
    }
    let wanted = crossing.left.len().min(PIECE) as u64;
    loop {
        let taken = crossing.take(wanted);
        if taken > 0 {
            let piece = crossing.left.split_to(taken as usize);
            return Some((Ok(piece), Some(crossing)));
        }
        compio::time::sleep(PAUSE).await;
    }
}
