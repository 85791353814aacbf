//! Runs the core's systems and carries out their commands.

use std::{rc::Rc, time::Duration};

use elmstream::{
    admission::Slot,
    allotment::Row,
    id::Name,
    message::{Command, Event, Fence, Heartbeat},
    steward::{Stored, WriteOutcome},
};
use elmstream_http::{Stop, body};
use elmstream_proto::peer::{Open, Reply};
use futures_util::FutureExt;
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::Value;

use crate::{clock, configuration, daemon::Daemon};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time for one exchange of control.
const EXCHANGE: Duration = Duration::from_millis(1_000);
/// Time between two reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the head row by a poller.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the head row by a host that heard nothing fresh.
const POLL_STALE_INTERVAL: Duration = Duration::from_secs(5);

/// Ticks until the stop.
pub async fn run(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        tick(&daemon);
        compio::time::sleep(TICK).await;
    }
}

/// Runs the systems once.
pub fn tick(daemon: &Rc<Daemon>) {
    let commands = daemon.node.borrow_mut().tick(clock::now());
    execute(daemon, commands);
}

/// Reads the host list until the stop.
pub async fn watch_hosts(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        match daemon.hosts.hosts().await {
            Ok(hosts) => {
                let now = clock::now();
                daemon.node.borrow_mut().take_list(now, hosts.entry_hosts, hosts.leaving);
            }
            Err(error) => log::warn!(error:% = error; "the host list was not read"),
        }
        compio::time::sleep(HOSTS_INTERVAL).await;
    }
}

/// Follows the configuration until the stop: pollers ask the table, a host
/// that is behind or stale asks its peers as well.
pub async fn follow_configuration(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        let is_poller = daemon.is_poller();
        let is_stale = daemon.node.borrow().is_isolated(clock::now());
        let wants = daemon.take_poll_request();
        let heard =
            if is_poller || is_stale || wants { configuration::poll(&daemon).await } else { true };
        let behind = daemon.highest_revision() > daemon.current.borrow().revision;
        if behind || !heard && daemon.current.borrow().revision == 0 {
            let peers = daemon.newest_peers();
            configuration::fetch(&daemon, &peers).await;
        }
        let pause = if is_poller { POLL_INTERVAL } else { POLL_STALE_INTERVAL };
        daemon.wait_for_poll_request(pause).await;
    }
}

/// Carries out commands, each in a task of its own.
pub fn execute(daemon: &Rc<Daemon>, commands: Vec<Command>) {
    for command in commands {
        match command {
            Command::Heartbeat(to, beat) => spawn(heartbeat(daemon.clone(), to, beat)),
            Command::Fence(to, fence) => spawn(send_fence(daemon.clone(), to, fence)),
            Command::ReadRow(region) => spawn(read_row(daemon.clone(), region)),
            Command::WriteRow { row, expect } => spawn(write_row(daemon.clone(), row, expect)),
            Command::Probe(backend) => spawn(probe(daemon.clone(), backend)),
            Command::Wake(number) => daemon.wake(&[number]),
            Command::Event(event) => report(daemon, event),
        }
    }
}

fn spawn(future: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(future).detach();
}

async fn heartbeat(daemon: Rc<Daemon>, to: Name, beat: Heartbeat) {
    let Some(address) = daemon.peer_address(&to) else { return };
    let open = Open::Heartbeat(beat);
    let reply = daemon.peers.exchange(&to, address, &open, EXCHANGE).await;
    if let Ok(Reply::Heartbeat(reply)) = reply {
        if reply.revision > daemon.current.borrow().revision {
            daemon.request_poll();
        }
        let brings_row = reply.row.is_some();
        let commands = daemon.node.borrow_mut().heartbeat_reply(clock::now(), &reply);
        execute(&daemon, commands);
        if brings_row {
            tick(&daemon);
        }
    }
}

async fn send_fence(daemon: Rc<Daemon>, to: Name, fence: Fence) {
    let Some(address) = daemon.peer_address(&to) else { return };
    let reply = daemon.peers.exchange(&to, address, &Open::Fence(fence), EXCHANGE).await;
    if let Ok(Reply::Fence(reply)) = reply {
        daemon.node.borrow_mut().fence_reply(reply);
    }
}

/// What a backend server says of its load.
#[derive(Deserialize)]
struct Load {
    in_flight: u32,
}

/// Asks a backend server how many requests it runs.
async fn probe(daemon: Rc<Daemon>, backend: Name) {
    let slot = Slot { backend };
    let Some(address) = daemon.backend_address(&slot) else { return };
    let asking = async {
        let mut connection = daemon.pool.acquire(address).await.ok()?;
        let request = Request::get("/load").header(HOST, address.to_string());
        let request = request.body(body::empty()).ok()?;
        let response = connection.send_request(request).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<Load>(&bytes).ok()
    };
    if let Ok(Some(load)) = compio::time::timeout(EXCHANGE, asking).await {
        daemon.node.borrow_mut().probed(&slot.backend, load.in_flight);
    }
}

/// The key of a region's allotment row.
fn row_key(region: &str) -> String {
    format!("allotment/{region}")
}

async fn read_row(daemon: Rc<Daemon>, region: Name) {
    let read = daemon.table.read(&row_key(&region)).await;
    let now = clock::now();
    let commands = match read {
        Ok(None) => daemon.node.borrow_mut().row_read(now, None),
        Ok(Some(stored)) => match serde_json::from_value::<Row>(stored.value) {
            Ok(row) => {
                let stored = Stored { row, version: stored.version };
                daemon.node.borrow_mut().row_read(now, Some(stored))
            }
            Err(error) => {
                log::error!(region:% = region, error:% = error; "an allotment row is malformed");
                daemon.node.borrow_mut().row_read_failed();
                return;
            }
        },
        Err(error) => {
            log::warn!(region:% = region, error:% = error; "the allotment row was not read");
            daemon.node.borrow_mut().row_read_failed();
            return;
        }
    };
    execute(&daemon, commands);
}

async fn write_row(daemon: Rc<Daemon>, row: Row, expect: u64) {
    let value = serde_json::to_value(&row).unwrap_or(Value::Null);
    let outcome = daemon.table.write(&row_key(&row.region), &value, expect).await;
    if !matches!(outcome, WriteOutcome::Written(_)) {
        log::info!(region:% = row.region, epoch = row.epoch; "a write of the allotment row: {outcome:?}");
    }
    let commands = daemon.node.borrow_mut().row_written(clock::now(), outcome);
    execute(&daemon, commands);
}

/// Logs and counts an event.
fn report(daemon: &Daemon, event: Event) {
    match event {
        Event::RowTaken(region, epoch, settled, owned) => {
            log::info!(region:% = region, epoch, settled, owned = owned as u64; "allotment row taken");
        }
        Event::LeaseLapsed => log::warn!("the lease lapsed"),
        Event::LeaseHeld => log::info!("the lease is held"),
        Event::HostSilent(host) => {
            log::warn!(host:% = host; "an entry host fell silent");
            daemon.peers.disconnect(&host.host);
        }
        Event::HostHeard(host) => log::info!(host:% = host; "an entry host is heard"),
        Event::RowProposed(region, epoch, moves) => {
            log::info!(region:% = region, epoch, moves = moves as u64; "allotment row proposed");
        }
    }
    metrics::counter!("elmstream_events_total").increment(1);
}
