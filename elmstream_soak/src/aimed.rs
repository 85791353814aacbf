//! Requests that are aimed at the end of the notice of a planned stop.
//!
//! Then a host closes its listener and its connections; a request that lies unread in
//! its socket, or a connection that nobody has accepted yet, is the first to be lost.

use std::{rc::Rc, time::Duration};

use crate::{
    callers::{Hosts, Line},
    process::NOTICE_MS,
    world::World,
};

/// Requests of either kind, on connections that rest and on new ones.
const EACH: u64 = 16;
/// The first ones leave this long before the end of the notice.
const BEFORE_MS: u64 = 150;
/// Time between two. The last ones leave 0.6 s after the end of the notice, as a host
/// with little processor time hears of its stop late, and acts late.
const GAP_MS: u64 = 50;

/// Sends them around the end of a host's notice; the stop must be asked for now.
pub async fn run(world: Rc<World>, hosts: Hosts, host: usize, asked: u64) {
    let mut running = Vec::new();
    for number in 0..2 * EACH {
        let (world, hosts) = (world.clone(), hosts.clone());
        running.push(compio::runtime::spawn(async move {
            let id = format!("stop-{host}-{asked}-{number}");
            let at = asked + NOTICE_MS - BEFORE_MS + number / 2 * GAP_MS;
            one(&world, &hosts, host, number % 2 == 0, &id, at).await;
        }));
    }
    for task in running {
        let _ = task.await;
    }
}

async fn one(world: &World, hosts: &Hosts, host: usize, kept: bool, id: &str, at: u64) {
    let mut line = None;
    if kept && let Some(new) = Line::open(world, hosts, host).await {
        line = new.request(world, hosts, "safe", &format!("safe-{id}"), 0).await;
    }
    compio::time::sleep(Duration::from_millis(at.saturating_sub(world.now()))).await;
    if line.is_none() {
        line = Line::open(world, hosts, host).await;
    }
    if let Some(line) = line {
        line.request(world, hosts, "once", &format!("once-{id}"), 0).await;
    }
}
