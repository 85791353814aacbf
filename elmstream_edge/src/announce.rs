//! Writes a host down in the store, and learns which others are written down.

use std::{rc::Rc, time::Duration};

use elmstreamd::clock;

use crate::{Edge, Source};

/// Learns which other hosts are written down, and writes this one down if it is not.
///
/// A host that was killed is still written down, so a restart of all of them reads
/// but does not write.
pub(crate) async fn run<S: Source>(edge: Rc<Edge>, source: Rc<S>) {
    let hosts = loop {
        match source.hosts().await {
            Ok(hosts) => break hosts,
            Err(_) => start_pause(&edge).await,
        }
    };
    let host = &edge.settings.host;
    let written = hosts.contains(&host.peers);
    for address in hosts {
        edge.steer.borrow_mut().suppose(clock::now(), address);
    }
    while !written && source.announce(host).await.is_err() {
        start_pause(&edge).await;
    }
}

/// Waits before the store is asked once more.
async fn start_pause(edge: &Edge) {
    let pause = edge.steer.borrow().store_pause(clock::now());
    compio::time::sleep(Duration::from_micros(pause)).await;
}
