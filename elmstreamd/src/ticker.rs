//! Drives the node: runs it at regular intervals, executes its commands, and feeds it the host list
//! and the configuration.

use std::{rc::Rc, time::Duration};

use elmstream::{
    admission::Slot,
    allotment::Row,
    id::Name,
    message::{Command, Event, Fence, Heartbeat},
    steward::{StoredRow, WriteOutcome},
};
use elmstream_http::{Stop, body};
use elmstream_proto::peer::{Open, Reply};
use futures_util::FutureExt;
use http::{Request, header::HOST};
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::Value;

use crate::{clock, configuration, daemon::Daemon};

/// Time between two runs of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a control message to another host, and of a load probe of a backend server.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the head row by a poller.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks by a host that is no poller. It reads the head row only if a poll was
/// requested or it may be behind.
const POLL_STALE_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the node at regular intervals until the stop.
pub async fn run(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        tick(&daemon);
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Runs the node once and executes its commands.
pub fn tick(daemon: &Rc<Daemon>) {
    let commands = daemon.node.borrow_mut().tick(clock::now());
    execute(daemon, commands);
}

/// Reads the host list at regular intervals until the stop.
pub async fn watch_hosts(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        match daemon.hosts.hosts().await {
            Ok(hosts) => {
                let now = clock::now();
                daemon.node.borrow_mut().apply_host_list(now, hosts.entry_hosts, hosts.leaving);
            }
            Err(error) => log::warn!(error:% = error; "the host list could not be read"),
        }
        compio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

/// Keeps the configuration up to date until the stop.
///
/// Pollers read the head row at each interval, other hosts if a poll was requested or they may be
/// isolated. A host that is still behind, or has no configuration, fetches it from other hosts.
pub async fn follow_configuration(daemon: Rc<Daemon>, stop: Stop) {
    while stop.clone().now_or_never().is_none() {
        let is_poller = daemon.is_poller();
        let is_stale = daemon.node.borrow().is_isolated(clock::now());
        let is_poll_requested = daemon.take_poll_request();
        let poll_ok = if is_poller || is_stale || is_poll_requested {
            configuration::poll(&daemon).await
        } else {
            true
        };
        let is_behind = daemon.highest_revision() > daemon.current.borrow().revision;
        if is_behind || !poll_ok && daemon.current.borrow().revision == 0 {
            let peers = daemon.newest_peers();
            configuration::fetch(&daemon, &peers).await;
        }
        let pause = if is_poller { POLL_INTERVAL } else { POLL_STALE_INTERVAL };
        daemon.wait_for_poll_request(pause).await;
    }
}

/// Executes commands of the node. Those that exchange messages run in tasks of their own.
pub fn execute(daemon: &Rc<Daemon>, commands: Vec<Command>) {
    for command in commands {
        match command {
            Command::Heartbeat(to, heartbeat) => {
                spawn(send_heartbeat(daemon.clone(), to, heartbeat))
            }
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

/// Sends a heartbeat and passes the reply to the node.
async fn send_heartbeat(daemon: Rc<Daemon>, to: Name, heartbeat: Heartbeat) {
    let Some(address) = daemon.peer_address(&to) else { return };
    let open = Open::Heartbeat(heartbeat);
    let reply = daemon.peers.exchange(&to, address, &open, EXCHANGE_TIMEOUT).await;
    if let Ok(Reply::Heartbeat(reply)) = reply {
        if reply.revision > daemon.current.borrow().revision {
            daemon.request_poll();
        }
        let has_row = reply.row.is_some();
        let commands = daemon.node.borrow_mut().on_heartbeat_reply(clock::now(), &reply);
        execute(&daemon, commands);
        if has_row {
            tick(&daemon);
        }
    }
}

/// Sends a fence and passes the reply to the node.
async fn send_fence(daemon: Rc<Daemon>, to: Name, fence: Fence) {
    let Some(address) = daemon.peer_address(&to) else { return };
    let reply = daemon.peers.exchange(&to, address, &Open::Fence(fence), EXCHANGE_TIMEOUT).await;
    if let Ok(Reply::Fence(reply)) = reply {
        daemon.node.borrow_mut().on_fence_reply(reply);
    }
}

/// Reply of a backend server to a load probe, as JSON.
#[derive(Deserialize)]
struct LoadReply {
    in_flight: u32,
}

/// Asks a backend server how many requests it is running, and passes the number to the node.
async fn probe(daemon: Rc<Daemon>, backend: Name) {
    let slot = Slot { backend };
    let Some(address) = daemon.backend_address(&slot) else { return };
    let exchange = async {
        let mut connection = daemon.pool.acquire(address).await.ok()?;
        let request = Request::get("/load").header(HOST, address.to_string());
        let request = request.body(body::empty()).ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<LoadReply>(&bytes).ok()
    };
    if let Ok(Some(load)) = compio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        daemon.node.borrow_mut().on_probe_reply(&slot.backend, load.in_flight);
    }
}

/// Key of a region's allotment row in the table service.
fn row_key(region: &str) -> String {
    format!("allotment/{region}")
}

/// Reads the allotment row of a region and passes it to the node.
async fn read_row(daemon: Rc<Daemon>, region: Name) {
    let read = daemon.table.read(&row_key(&region)).await;
    let now = clock::now();
    let commands = match read {
        Ok(None) => daemon.node.borrow_mut().on_row_read(now, None),
        Ok(Some(stored)) => match serde_json::from_value::<Row>(stored.value) {
            Ok(row) => {
                let stored = StoredRow { row, version: stored.version };
                daemon.node.borrow_mut().on_row_read(now, Some(stored))
            }
            Err(error) => {
                log::error!(region:% = region, error:% = error; "an allotment row is malformed");
                daemon.node.borrow_mut().on_row_read_failed();
                return;
            }
        },
        Err(error) => {
            log::warn!(region:% = region, error:% = error; "the allotment row could not be read");
            daemon.node.borrow_mut().on_row_read_failed();
            return;
        }
    };
    execute(&daemon, commands);
}

/// Writes the allotment row of a region if its version is `expect`, and reports the outcome to the
/// node.
async fn write_row(daemon: Rc<Daemon>, row: Row, expect: u64) {
    let value = serde_json::to_value(&row).unwrap_or(Value::Null);
    let outcome = daemon.table.write(&row_key(&row.region), &value, expect).await;
    if !matches!(outcome, WriteOutcome::Written(_)) {
        log::info!(region:% = row.region, epoch = row.epoch; "result of writing the allotment row: {outcome:?}");
    }
    let commands = daemon.node.borrow_mut().on_row_written(clock::now(), outcome);
    execute(&daemon, commands);
}

/// Logs and counts an event of the node.
fn report(daemon: &Daemon, event: Event) {
    match event {
        Event::RowTaken(region, epoch, settled, owned) => {
            log::info!(region:% = region, epoch, settled, owned = owned as u64; "allotment row taken");
        }
        Event::LeaseLapsed => log::warn!("the lease lapsed"),
        Event::LeaseHeld => log::info!("the lease is valid"),
        Event::HostSilent(host) => {
            log::warn!(host:% = host; "an entry host is unreachable");
            daemon.peers.disconnect(&host.host);
        }
        Event::HostHeard(host) => log::info!(host:% = host; "an entry host is reachable"),
        Event::RowProposed(region, epoch, moves) => {
            log::info!(region:% = region, epoch, moves = moves as u64; "allotment row proposed");
        }
    }
    metrics::counter!("elmstream_events_total").increment(1);
}
