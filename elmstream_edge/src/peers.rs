//! Communication between hosts: heartbeats by datagram, table rows by HTTP.
//!
//! Heartbeats are small and frequent, and a lost one does not matter, so they are sent by
//! UDP. A heartbeat that shows newer rows makes its receiver fetch them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use compio::{buf::BufResult, net::UdpSocket};
use elmstream::time::MILLI;
use elmstream_http::{LocalBody, RequestBody, body, server::Aborted};
use elmstream_steer::{
    Steer,
    heartbeat::{Heartbeat, Message, TableStatus},
    members,
    table_sync::SyncRequest,
    version::StoreVersion,
    view::{REQUIRED_TABLES, TABLES},
};
use elmstreamd::clock;
use http::{Request, Response, StatusCode};
use serde_json::json;

use crate::{
    concurrency_limit::ConcurrencyLimit,
    connections::ConnectionReport,
    edge::Edge,
    peer_rows::{PeerRows, ROWS_PATH},
    poison, refusal_report, server_hints,
    table_fetch::TableFetcher,
};

/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 16 << 10;
/// Interval of the check for whether a heartbeat is due.
pub const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two heartbeats if there is urgent news.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Most addresses of hosts that are sent along with rows.
const HOSTS_PER_REPLY_MAX: usize = 48;
/// Requests for rows that are served at once.
pub const MAX_CONCURRENT_ROWS: usize = 4;
/// Time for which a served request keeps its permit for each byte of the response, in
/// microseconds, as data handed to the connection is not yet transmitted. All permits
/// together use at most 8 Mbit/s.
const PERMIT_US_PER_BYTE: u64 = 4;
/// The seeds are contacted again after this many ticks, as none may have been reachable at
/// first.
const SEED_RETRY_TICKS: u64 = 100;
/// Interval of the ticks that advance the decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends heartbeats until the process ends.
pub async fn send(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut round = 0u64;
    loop {
        round += 1;
        let hosts = send_heartbeat(&edge, &socket, round).await;
        let pause = Duration::from_micros(members::heartbeat_interval(hosts));
        let mut waited = Duration::ZERO;
        while waited < pause && (waited < URGENT_INTERVAL || !edge.steer.borrow().has_urgent_news())
        {
            let step = HEARTBEAT_CHECK_INTERVAL.min(pause - waited);
            compio::time::sleep(step).await;
            waited += step;
        }
    }
}

/// Sends one heartbeat to the hosts that are due in this round; returns the number of hosts
/// that receive heartbeats.
pub async fn send_heartbeat(edge: &Edge, socket: &UdpSocket, round: u64) -> usize {
    let now = clock::now();
    let (mut heartbeat, targets, hosts) = {
        let mut steer = edge.steer.borrow_mut();
        (
            Box::new(steer.next_heartbeat(now)),
            steer.targets(now, round),
            steer.members().target_count(),
        )
    };
    send_to(socket, &Message::Heartbeat(heartbeat.clone()), &targets.near).await;
    send_to(socket, &Message::Heartbeat(heartbeat.clone()), &targets.domains).await;
    heartbeat.warm_keys.clear();
    heartbeat.liveness.clear();
    send_to(socket, &Message::Heartbeat(heartbeat), &targets.far).await;
    hosts
}

/// Sends the usage and roll-out reports that are due.
async fn send_due_messages(edge: &Edge, socket: &UdpSocket) {
    let due = edge.steer.borrow_mut().due_messages(clock::now());
    send_each(socket, due).await;
}

async fn send_each(socket: &UdpSocket, messages: Vec<(SocketAddr, Message)>) {
    for (host, message) in messages {
        send_to(socket, &message, &[host]).await;
    }
}

async fn send_to(socket: &UdpSocket, message: &Message, hosts: &[SocketAddr]) {
    let Ok(datagram) = postcard::to_allocvec(message) else { return };
    let datagram = bytes::Bytes::from(datagram);
    for host in hosts {
        let _ = socket.send_to(datagram.clone(), *host).await;
    }
}

/// Receives messages of other hosts until the process ends.
pub async fn receive(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let fetcher = TableFetcher::new(edge.clone());
    fetch_from_seeds(&edge, &fetcher);
    let mut buffer = Vec::with_capacity(DATAGRAM_BYTES_MAX);
    loop {
        buffer.clear();
        let BufResult(result, back) = socket.recv_from(buffer).await;
        buffer = back;
        let Ok((length, from)) = result else { continue };
        match postcard::from_bytes::<Message>(&buffer[..length.min(buffer.len())]) {
            Ok(Message::Heartbeat(heartbeat)) => on_heartbeat(&edge, &fetcher, &heartbeat),
            Ok(Message::UsageReport(report)) => {
                let (usage_reply, due) = {
                    let (mut steer, now) = (edge.steer.borrow_mut(), clock::now());
                    let usage_reply = steer.on_usage_report(now, &report);
                    (usage_reply, steer.due_broadcasts(now))
                };
                send_to(&socket, &Message::UsageReply(usage_reply), &[from]).await;
                send_each(&socket, due).await;
            }
            Ok(Message::FractionBroadcast(broadcast)) => {
                let due = edge.steer.borrow_mut().on_broadcast(clock::now(), &broadcast);
                send_each(&socket, due).await;
            }
            Ok(Message::RolloutReport(report)) => {
                edge.steer.borrow_mut().on_rollout_report(clock::now(), *report);
            }
            Ok(Message::UsageReply(usage_reply)) => {
                edge.steer.borrow_mut().on_usage_reply(clock::now(), &usage_reply);
            }
            Err(_) => metrics::counter!("elmstream_datagrams_unreadable").increment(1),
        }
    }
}

fn on_heartbeat(edge: &Edge, fetcher: &TableFetcher, heartbeat: &Heartbeat) {
    let news = edge.steer.borrow_mut().on_heartbeat(clock::now(), heartbeat);
    let Some(news) = news else { return };
    if news.joined {
        edge.event_log.state_change("host_heard", json!({"host": heartbeat.host.name}));
    }
    metrics::counter!("elmstream_speed_reports", "from" => "host")
        .increment(news.speed_reports as u64);
    poison::log_refused(edge, &heartbeat.host.name, &news.refused);
    for server in &news.leaving {
        let fields = json!({"server": server, "from": heartbeat.host.name});
        edge.event_log.state_change("server_leaving", fields);
    }
    for (server, limit) in &news.limits {
        server_hints::log_limit(edge, &heartbeat.host.name, server, *limit);
    }
    for (table, _) in news.outdated_tables {
        fetcher.offer(table, heartbeat.host.peers, &heartbeat.tables[table as usize]);
    }
}

fn empty(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Fetches the required tables from the seeds, as a starting host knows nothing.
fn fetch_from_seeds(edge: &Edge, fetcher: &TableFetcher) {
    for table in REQUIRED_TABLES {
        for seed in edge.settings.seeds.iter().filter(|seed| **seed != edge.settings.host.peers) {
            fetcher.offer(table, *seed, &TableStatus::default());
        }
    }
}

/// Serves another host's request for rows.
///
/// Only a few are served at once: all hosts ask the first one that has news, and a large
/// response over a slow link would reach each of them late. Hosts that are refused fetch from
/// one that was served meanwhile.
pub async fn serve(
    edge: Rc<Edge>,
    row_limit: ConcurrencyLimit,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let table = field("table").and_then(|number| TABLES.get(number as usize).copied());
    let version = |era, count| {
        let (era, count) = field(era).zip(field(count))?;
        Some(StoreVersion::new(era, count))
    };
    let after = version("era", "after");
    let complete = version("complete_era", "complete").or(after).unwrap_or_default();
    let (ROWS_PATH, Some(table), Some(after)) = (request.uri().path(), table, after) else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    // A host without rows replies at once, as the hosts that ask it have just started.
    let has_rows =
        edge.steer.borrow().table_statuses(clock::now())[table as usize].last_read.is_some();
    let permit = row_limit.try_acquire();
    if has_rows && permit.is_none() {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let rows = {
        let steer = edge.steer.borrow();
        let is_starting = after == StoreVersion::default();
        let all_hosts = is_starting && steer.has_host_list();
        let mut hosts = addresses_to_send(&steer, all_hosts);
        hosts.push(edge.settings.host.peers);
        let crashes = if is_starting { steer.poison().refused_crashes() } else { Vec::new() };
        let table =
            steer.rows_for(clock::now(), table, SyncRequest { after, complete_to: complete });
        PeerRows { table, hosts, all_hosts, crashes }
    };
    let bytes = postcard::to_allocvec(&rows).unwrap_or_default();
    let permit_time = Duration::from_micros(bytes.len() as u64 * PERMIT_US_PER_BYTE);
    compio::runtime::spawn(async move {
        compio::time::sleep(permit_time).await;
        drop(permit);
    })
    .detach();
    Ok(Response::new(body::full(bytes)))
}

/// Addresses of other hosts to send along with rows: all for a host that has just started,
/// else a sample.
fn addresses_to_send(steer: &Steer, all: bool) -> Vec<SocketAddr> {
    let now = clock::now();
    if all {
        return steer.members().contact_addresses(now);
    }
    // The offset changes each time, so that all addresses are sent eventually.
    steer.members().sample((now.0 / MILLI) as usize, HOSTS_PER_REPLY_MAX)
}

/// Advances the decisions until the process ends.
pub async fn tick(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut suspension = clock::Suspension::default();
    let mut connections = ConnectionReport::default();
    for count in 0u64.. {
        compio::time::sleep(TICK_INTERVAL).await;
        if let Some(suspended_us) = suspension.look() {
            metrics::counter!("elmstream_suspensions").increment(1);
            edge.event_log.write("suspended", json!({"for_ms": suspended_us / MILLI}));
        }
        send_due_messages(&edge, &socket).await;
        if count.is_multiple_of(SEED_RETRY_TICKS) {
            for seed in &edge.settings.seeds {
                edge.steer.borrow_mut().add_peer_address(clock::now(), *seed);
            }
        }
        if let Some(error) = edge.pool.take_timeout_error() {
            edge.event_log.write("silence_unbounded", json!({"error": error.to_string()}));
        }
        let changes = edge.steer.borrow_mut().tick(clock::now());
        edge.log_changes("time", &changes);
        refusal_report::update(&edge);
        connections.update(&edge, clock::now());
        let steer = edge.steer.borrow();
        let (held_back, unanswered) = steer.quota_counts(clock::now());
        metrics::gauge!("elmstream_store_era").set(steer.era() as f64);
        for table in REQUIRED_TABLES {
            let age = steer.view().age(clock::now(), table).map(|age| age / MILLI);
            metrics::gauge!("elmstream_table_age_ms", "table" => table.name())
                .set(age.map_or(f64::INFINITY, |age| age as f64));
        }
        metrics::gauge!("elmstream_store_rows_held").set(steer.view().retained_count() as f64);
        for (service, shares) in steer.placement_shares() {
            metrics::gauge!("elmstream_place_share", "service" => service.to_owned())
                .set(shares.own);
        }
        metrics::gauge!("elmstream_servers_limited").set(steer.limited_servers() as f64);
        metrics::gauge!("elmstream_workspaces_held_back").set(held_back as f64);
        metrics::gauge!("elmstream_workspaces_unanswered").set(unanswered as f64);
        edge.pool.sweep(|id| steer.servers().find(id).is_some());
        edge.relay_pool.sweep(|_| true);
    }
}
