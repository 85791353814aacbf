//! Requests sent around the end of a planned stop's notice.
//!
//! At that moment a host closes its listener and its idle connections. Requests still unread
//! in a socket buffer, and connections not yet accepted, are the first to be lost.

use std::{rc::Rc, time::Duration};

use crate::{
    callers::{HostConnection, Hosts, RequestParams},
    process::STOP_NOTICE_MS,
    world::World,
};

/// Requests of each kind: on reused connections and on new ones.
const REQUESTS_PER_KIND: u64 = 16;
/// Time before the end of the notice at which the first requests are sent.
const FIRST_REQUEST_LEAD_MS: u64 = 150;
/// Time between two requests of a kind. The last ones are sent 0.6 s after the end of the
/// notice, because a host with little processor time receives its stop late and acts late.
const REQUEST_GAP_MS: u64 = 50;

/// Requests in a burst.
const BURST_REQUESTS: u64 = 64;
/// Time after which a host has read some requests of a burst and not others.
const BURST_HEAD_START: Duration = Duration::from_millis(4);

/// Sends requests around the end of a host's stop notice. `stop_requested_ms` is when the
/// stop was requested, in milliseconds since the start of the soak; the call has to be made
/// at that time.
pub async fn send_around_notice_end(
    world: Rc<World>,
    hosts: Hosts,
    host: usize,
    stop_requested_ms: u64,
) {
    let mut tasks = Vec::new();
    for number in 0..2 * REQUESTS_PER_KIND {
        let (world, hosts) = (world.clone(), hosts.clone());
        tasks.push(compio::runtime::spawn(async move {
            let id = format!("stop-{host}-{stop_requested_ms}-{number}");
            let send_ms = stop_requested_ms + STOP_NOTICE_MS - FIRST_REQUEST_LEAD_MS
                + number / 2 * REQUEST_GAP_MS;
            send_at(&world, &hosts, host, number % 2 == 0, &id, send_ms).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Sends a host a burst of requests, each on a new connection, so that it is busy when it is
/// frozen next.
///
/// A host frozen while it waits reads everything that has arrived before it checks its
/// clock; one frozen in the middle of its work checks its clock first.
pub async fn burst(world: &Rc<World>, hosts: &Hosts, host: usize) {
    let now = world.now();
    for number in 0..BURST_REQUESTS {
        let (world, hosts) = (world.clone(), hosts.clone());
        compio::runtime::spawn(async move {
            if let Some(connection) = HostConnection::open(&world, &hosts, host).await {
                let id = format!("once-burst-{host}-{now}-{number}");
                let params = RequestParams::with_newest_key(&world);
                connection.request(&world, &hosts, "once", &id, params).await;
            }
        })
        .detach();
    }
    compio::time::sleep(BURST_HEAD_START).await;
}

async fn send_at(world: &World, hosts: &Hosts, host: usize, reuse: bool, id: &str, send_ms: u64) {
    let mut connection = None;
    if reuse && let Some(new) = HostConnection::open(world, hosts, host).await {
        connection = new
            .request(
                world,
                hosts,
                "safe",
                &format!("safe-{id}"),
                RequestParams::with_newest_key(world),
            )
            .await;
    }
    compio::time::sleep(Duration::from_millis(send_ms.saturating_sub(world.now()))).await;
    if connection.is_none() {
        connection = HostConnection::open(world, hosts, host).await;
    }
    if let Some(connection) = connection {
        connection
            .request(
                world,
                hosts,
                "once",
                &format!("once-{id}"),
                RequestParams::with_newest_key(world),
            )
            .await;
    }
}
