//! Fetches the rows of the view from other hosts by HTTP.
//!
//! [`FetchSchedule`] says whom to ask and when; this carries it out.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream::time::Time;
use elmstream_http::{body, client};
use elmstream_steer::{
    hash, heartbeat::TableStatus, table_sync::SyncRequest, version::StoreVersion, view::Table,
};
use elmstreamd::{clock, waits};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use serde_json::json;

use crate::{
    edge::Edge,
    fetch_schedule::{FetchOutcome, FetchSchedule, HEDGE_DELAY},
    peers::{PeerRows, ROWS_PATH},
    poison,
};

/// Time in which rows must have come.
const FETCH: Duration = Duration::from_millis(700);

/// Asks other hosts for what they know better.
#[derive(Clone, Debug)]
pub(crate) struct TableFetcher {
    edge: Rc<Edge>,
    fetches: Rc<RefCell<FetchSchedule>>,
}

impl TableFetcher {
    /// Nobody has offered anything yet.
    pub(crate) fn new(edge: Rc<Edge>) -> TableFetcher {
        let seed = hash::of(&edge.settings.host.name);
        TableFetcher { edge, fetches: Rc::new(RefCell::new(FetchSchedule::new(seed))) }
    }

    /// A host's beat shows that it knows news of a table.
    pub(crate) fn offer(&self, table: Table, host: SocketAddr, known: &TableStatus) {
        self.fetches.borrow_mut().offer(clock::now(), table, host, known);
        self.start_due(table);
    }

    /// Asks whoever is to be asked now.
    fn start_due(&self, table: Table) {
        loop {
            let steer = self.edge.steer.borrow();
            let asks = steer.sync_request(table);
            let wants = |known: &TableStatus| steer.needs_sync(table, known);
            let next = self.fetches.borrow_mut().next(clock::now(), table, wants);
            drop(steer);
            let Some(host) = next else { return };
            let asking = self.clone();
            compio::runtime::spawn(async move { asking.fetch(host, table, asks).await }).detach();
            self.start_due_at(table, clock::now() + HEDGE_DELAY);
        }
    }

    /// The same at a later time, as no beat may come then.
    fn start_due_at(&self, table: Table, at: Time) {
        let asking = self.clone();
        let pause = Duration::from_micros(at.since(clock::now()));
        compio::runtime::spawn(async move {
            compio::time::sleep(pause).await;
            asking.start_due(table);
        })
        .detach();
    }

    async fn fetch(&self, host: SocketAddr, table: Table, asks: SyncRequest) {
        let fetched = fetch(&self.edge, host, table, asks).await;
        let end = match &fetched {
            Ok(()) => FetchOutcome::Received,
            Err(error) if error.kind() == io::ErrorKind::ResourceBusy => FetchOutcome::Refused,
            Err(_) => FetchOutcome::Failed,
        };
        metrics::counter!("elmstream_fetches", "end" => end.name()).increment(1);
        if let (FetchOutcome::Failed, Err(error)) = (end, &fetched) {
            if table != Table::Rollouts {
                self.edge.steer.borrow_mut().record_uninformed_peer();
            }
            let error = error.to_string();
            let fields = json!({"host": host, "table": table, "error": error});
            self.edge.event_log.state_change("fetch_failed", fields);
        }
        let again = self.fetches.borrow_mut().ended(clock::now(), table, host, end);
        let lacks_progress = self.edge.steer.borrow().awaits_rollout_progress();
        if end == FetchOutcome::Received && table == Table::Rules && lacks_progress {
            // A host that has just started does not wait for the next beat.
            self.offer(Table::Rollouts, host, &TableStatus::default());
        }
        self.start_due(table);
        if end != FetchOutcome::Received {
            self.start_due_at(table, again);
        }
    }
}

/// Fetches the rows of a table after a version, and the addresses of hosts.
async fn fetch(
    edge: &Edge,
    address: SocketAddr,
    table: Table,
    asks: SyncRequest,
) -> io::Result<()> {
    let fetched = waits::within_next(FETCH, get(address, table, asks)).await;
    let fetched = fetched.ok_or(io::ErrorKind::TimedOut)??;
    let now = clock::now();
    let changes = {
        let mut steer = edge.steer.borrow_mut();
        match fetched.all_hosts {
            true => steer.on_host_list(now, &fetched.hosts),
            false => fetched.hosts.iter().for_each(|host| steer.add_peer_address(now, *host)),
        }
        let refused = steer.merge_crashes(now, &fetched.endings);
        drop(steer);
        poison::note(edge, &address.to_string(), &refused);
        let mut steer = edge.steer.borrow_mut();
        if fetched.table.status.last_read.is_none() {
            // Whoever knows the rules may not know of roll-outs; there may be none.
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

async fn get(address: SocketAddr, table: Table, asks: SyncRequest) -> io::Result<PeerRows> {
    let mut sender = client::connect_with_unacked_timeout(address, FETCH, FETCH).await?;
    let SyncRequest { after: StoreVersion { era, count }, complete_to: complete } = asks;
    let complete = format!("complete_era={}&complete={}", complete.era, complete.count);
    let uri = format!("{ROWS_PATH}?table={}&era={era}&after={count}&{complete}", table as usize);
    let request = Request::builder().uri(uri).header("host", address.to_string());
    let request = request.body(body::empty()).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => return Err(io::ErrorKind::ResourceBusy.into()),
        status if !status.is_success() => return Err(io::Error::other(format!("status {status}"))),
        _ => {}
    }
    let whole = response.into_body().collect().await.map_err(io::Error::other)?;
    postcard::from_bytes(&whole.to_bytes()).map_err(io::Error::other)
}
