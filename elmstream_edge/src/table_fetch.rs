//! Fetches table rows from other hosts by HTTP.
//!
//! [`FetchSchedule`] decides which host to ask and when; this module performs the fetches.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream::time::Time;
use elmstream_http::{LocalBody, body, client};
use elmstream_steer::{
    hash, heartbeat::TableStatus, table_sync::SyncRequest, version::StoreVersion, view::Table,
};
use elmstreamd::{clock, waits};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use serde_json::json;

use crate::{
    edge::Edge,
    fetch_schedule::{FetchOutcome, FetchSchedule, HEDGE_DELAY},
    peer_rows::{PeerRows, ROWS_PATH},
    poison,
};

/// Largest response to a fetch, in bytes.
const ROWS_BYTES_MAX: usize = 64 << 20;
/// Time in which a host has to begin its response, and longest time without a byte of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a fetch whose rows keep arriving.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches tables that other hosts know better; clones share the schedule.
#[derive(Clone, Debug)]
pub(crate) struct TableFetcher {
    edge: Rc<Edge>,
    fetches: Rc<RefCell<FetchSchedule>>,
}

impl TableFetcher {
    /// A fetcher without offers.
    pub(crate) fn new(edge: Rc<Edge>) -> TableFetcher {
        let seed = hash::of(&edge.settings.host.name);
        TableFetcher { edge, fetches: Rc::new(RefCell::new(FetchSchedule::new(seed))) }
    }

    /// Records that a host offers newer rows of a table, and starts the fetches that are due.
    pub(crate) fn offer(&self, table: Table, host: SocketAddr, known: &TableStatus) {
        self.fetches.borrow_mut().offer(clock::now(), table, host, known);
        self.start_due(table);
    }

    /// Starts all fetches of a table that are due now.
    fn start_due(&self, table: Table) {
        loop {
            let steer = self.edge.steer.borrow();
            let sync_request = steer.sync_request(table);
            let needs_sync = |known: &TableStatus| steer.needs_sync(table, known);
            let next = self.fetches.borrow_mut().next(clock::now(), table, needs_sync);
            drop(steer);
            let Some(host) = next else { return };
            let fetcher = self.clone();
            compio::runtime::spawn(async move { fetcher.fetch(host, table, sync_request).await })
                .detach();
            self.start_due_at(table, clock::now() + HEDGE_DELAY);
        }
    }

    /// Starts due fetches at a later time, as no heartbeat may arrive then.
    fn start_due_at(&self, table: Table, at: Time) {
        let fetcher = self.clone();
        let pause = Duration::from_micros(at.since(clock::now()));
        compio::runtime::spawn(async move {
            compio::time::sleep(pause).await;
            fetcher.start_due(table);
        })
        .detach();
    }

    /// Records that rows of a running fetch arrive.
    fn on_progress(&self, table: Table, host: SocketAddr) {
        let now = clock::now();
        self.fetches.borrow_mut().on_progress(now, table, host);
    }

    async fn fetch(&self, host: SocketAddr, table: Table, sync_request: SyncRequest) {
        let on_progress = || self.on_progress(table, host);
        let fetched = fetch(&self.edge, host, table, sync_request, on_progress).await;
        let outcome = match &fetched {
            Ok(()) => FetchOutcome::Received,
            Err(error) if error.kind() == io::ErrorKind::ResourceBusy => FetchOutcome::Refused,
            Err(_) => FetchOutcome::Failed,
        };
        metrics::counter!("elmstream_fetches", "end" => outcome.name()).increment(1);
        if let (FetchOutcome::Failed, Err(error)) = (outcome, &fetched) {
            if table != Table::Rollouts {
                self.edge.steer.borrow_mut().record_uninformed_peer();
            }
            let error = error.to_string();
            let fields = json!({"host": host, "table": table, "error": error});
            self.edge.event_log.state_change("fetch_failed", fields);
        }
        let retry_at = self.fetches.borrow_mut().on_fetch_ended(clock::now(), table, host, outcome);
        let lacks_progress = self.edge.steer.borrow().awaits_rollout_progress();
        if outcome == FetchOutcome::Received && table == Table::Rules && lacks_progress {
            // A host that has just started does not wait for the next heartbeat.
            self.offer(Table::Rollouts, host, &TableStatus::default());
        }
        self.start_due(table);
        if outcome != FetchOutcome::Received {
            self.start_due_at(table, retry_at);
        }
    }
}

/// Fetches the rows of a table after a version, along with addresses of hosts, and merges
/// them.
async fn fetch(
    edge: &Edge,
    address: SocketAddr,
    table: Table,
    sync_request: SyncRequest,
    on_progress: impl Fn(),
) -> io::Result<()> {
    let fetched = get(address, table, sync_request, on_progress);
    let fetched = waits::within_duration(FETCH_TIMEOUT, fetched).await;
    let fetched = fetched.ok_or(io::ErrorKind::TimedOut)??;
    let now = clock::now();
    let changes = {
        let mut steer = edge.steer.borrow_mut();
        match fetched.all_hosts {
            true => steer.on_host_list(now, &fetched.hosts),
            false => fetched.hosts.iter().for_each(|host| steer.add_peer_address(now, *host)),
        }
        let refused = steer.merge_crashes(now, &fetched.crashes);
        drop(steer);
        poison::log_refused(edge, &address.to_string(), &refused);
        let mut steer = edge.steer.borrow_mut();
        if fetched.table.status.last_read.is_none() {
            // A host that knows the rules may know no roll-out progress, as there may be
            // none.
            if table != Table::Rollouts {
                steer.record_uninformed_peer();
            }
            return Ok(());
        }
        steer.on_table_rows(now, table, fetched.table)
    };
    edge.log_changes(&address.to_string(), &changes);
    Ok(())
}

/// Requests rows and reads them; `on_progress` is called when bytes of them arrive.
async fn get(
    address: SocketAddr,
    table: Table,
    sync_request: SyncRequest,
    on_progress: impl Fn(),
) -> io::Result<PeerRows> {
    let response = request_rows(address, table, sync_request);
    let response = waits::within_duration(STALL_TIMEOUT, response).await;
    // The connection ends when the sender is dropped.
    let (_sender, response) = response.ok_or(io::ErrorKind::TimedOut)??;
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => return Err(io::ErrorKind::ResourceBusy.into()),
        status if !status.is_success() => return Err(io::Error::other(format!("status {status}"))),
        _ => {}
    }
    let mut rows = Limited::new(response.into_body(), ROWS_BYTES_MAX);
    let mut bytes = Vec::new();
    while let Some(frame) =
        waits::within_duration(STALL_TIMEOUT, rows.frame()).await.ok_or(io::ErrorKind::TimedOut)?
    {
        let frame = frame.map_err(io::Error::other)?;
        if let Ok(data) = frame.into_data() {
            on_progress();
            bytes.extend_from_slice(&data);
        }
    }
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

async fn request_rows(
    address: SocketAddr,
    table: Table,
    sync_request: SyncRequest,
) -> io::Result<(SendRequest<LocalBody>, Response<Incoming>)> {
    let mut sender =
        client::connect_with_unacked_timeout(address, STALL_TIMEOUT, STALL_TIMEOUT).await?;
    let SyncRequest { after: StoreVersion { era, count }, complete_to: complete } = sync_request;
    let complete = format!("complete_era={}&complete={}", complete.era, complete.count);
    let uri = format!("{ROWS_PATH}?table={}&era={era}&after={count}&{complete}", table as usize);
    let request = Request::builder().uri(uri).header("host", address.to_string());
    let request = request.body(body::empty()).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    Ok((sender, response))
}
