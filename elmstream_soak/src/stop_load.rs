//! Requests that are aimed at the end of the notice of a planned stop.
//!
//! Then a host closes its listener and its connections; a request that lies unread in
//! its socket, or a connection that nobody has accepted yet, is the first to be lost.

use std::{rc::Rc, time::Duration};

use crate::{
    callers::{HostConnection, Hosts, RequestParams},
    process::STOP_NOTICE_MS,
    world::World,
};

/// Requests of either kind, on connections that rest and on new ones.
const EACH: u64 = 16;
/// The first ones leave this long before the end of the notice.
const BEFORE_MS: u64 = 150;
/// Time between two. The last ones leave 0.6 s after the end of the notice, as a host
/// with little processor time hears of its stop late, and acts late.
const GAP_MS: u64 = 50;

/// Requests that give a host work.
const BURST: u64 = 64;
/// Time after which it has some of them in hand and others not.
const BURST_BEGUN: Duration = Duration::from_millis(4);

/// Sends them around the end of a host's notice; the stop must be asked for now.
pub async fn send_around_notice_end(world: Rc<World>, hosts: Hosts, host: usize, asked: u64) {
    let mut running = Vec::new();
    for number in 0..2 * EACH {
        let (world, hosts) = (world.clone(), hosts.clone());
        running.push(compio::runtime::spawn(async move {
            let id = format!("stop-{host}-{asked}-{number}");
            let at = asked + STOP_NOTICE_MS - BEFORE_MS + number / 2 * GAP_MS;
            one(&world, &hosts, host, number % 2 == 0, &id, at).await;
        }));
    }
    for task in running {
        let _ = task.await;
    }
}

/// Gives a host work for the next moment: requests on connections of their own.
///
/// A host that stands still while it waits reads all that has come before it looks at
/// its clock; one that stands still in the midst of its work looks at its clock first.
pub async fn burst(world: &Rc<World>, hosts: &Hosts, host: usize) {
    let now = world.now();
    for number in 0..BURST {
        let (world, hosts) = (world.clone(), hosts.clone());
        compio::runtime::spawn(async move {
            if let Some(line) = HostConnection::open(&world, &hosts, host).await {
                let id = format!("once-burst-{host}-{now}-{number}");
                let shows = RequestParams::with_newest_key(&world);
                line.request(&world, &hosts, "once", &id, shows).await;
            }
        })
        .detach();
    }
    compio::time::sleep(BURST_BEGUN).await;
}

async fn one(world: &World, hosts: &Hosts, host: usize, kept: bool, id: &str, at: u64) {
    let mut line = None;
    if kept && let Some(new) = HostConnection::open(world, hosts, host).await {
        line = new
            .request(
                world,
                hosts,
                "safe",
                &format!("safe-{id}"),
                RequestParams::with_newest_key(world),
            )
            .await;
    }
    compio::time::sleep(Duration::from_millis(at.saturating_sub(world.now()))).await;
    if line.is_none() {
        line = HostConnection::open(world, hosts, host).await;
    }
    if let Some(line) = line {
        line.request(
            world,
            hosts,
            "once",
            &format!("once-{id}"),
            RequestParams::with_newest_key(world),
        )
        .await;
    }
}
