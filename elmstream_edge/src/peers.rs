//! What hosts tell each other: beats by datagram, rows of the view by HTTP.
//!
//! Beats are small and many, and a lost one does not matter, so they go by UDP.
//! A beat that shows news makes its receiver fetch the rows that it lacks.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use compio::{buf::BufResult, net::UdpSocket};
use elmstream::time::MILLI;
use elmstream_http::{LocalBody, body, server::Aborted};
use elmstream_steer::{
    Steer,
    heartbeat::{Heartbeat, Message, TableStatus},
    members,
    poison::ServerCrash,
    table_sync::{SyncRequest, TableRows},
    version::StoreVersion,
    view::{REQUIRED_TABLES, TABLES},
};
use elmstreamd::clock;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    concurrency_limit::ConcurrencyLimit, edge::Edge, poison, server_hints,
    table_fetch::TableFetcher,
};

/// Path of the view's rows.
pub(crate) const ROWS_PATH: &str = "/v1/rows";
/// Largest datagram.
const DATAGRAM: usize = 16 << 10;
/// Time between two looks at whether a beat is due.
pub const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two beats if there is news that must not wait.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Addresses of hosts that go with rows.
const HOSTS_TOLD: usize = 48;
/// Requests for rows that are served at once.
pub const MAX_CONCURRENT_ROWS: usize = 4;
/// Time that a served request keeps its place for each byte, as what was handed to
/// the connection is not yet on its way: together they use 8 Mbit/s at most.
const MICROS_A_BYTE: u64 = 4;
/// Seeds are tried again after this many ticks, as all may have been away at first.
const SEEDS_EVERY: u64 = 100;
/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);

/// What a host knows beyond a version, and which hosts it knows.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PeerRows {
    /// The table that was asked for.
    pub table: TableRows,
    /// Addresses of hosts.
    pub hosts: Vec<SocketAddr>,
    /// Whether these are all that the sender knows, and it knows where the others are.
    pub all_hosts: bool,
    /// Ends of servers under requests that are refused; told to hosts that start.
    pub endings: Vec<ServerCrash>,
}

/// Sends beats until the process ends.
pub async fn send(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut round = 0u64;
    loop {
        round += 1;
        let hosts = beat(&edge, &socket, round).await;
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

/// Sends one beat to all whose turn it is; the number of hosts.
pub async fn beat(edge: &Edge, socket: &UdpSocket, round: u64) -> usize {
    let now = clock::now();
    let (mut beat, targets, hosts) = {
        let mut steer = edge.steer.borrow_mut();
        (
            Box::new(steer.next_heartbeat(now)),
            steer.targets(now, round),
            steer.members().target_count(),
        )
    };
    tell(socket, &Message::Heartbeat(beat.clone()), &targets.near).await;
    beat.warm_keys.clear();
    beat.liveness.clear();
    tell(socket, &Message::Heartbeat(beat), &targets.far).await;
    hosts
}

/// Reports what workspaces asked of this host, and what it counted of roll-outs.
async fn report(edge: &Edge, socket: &UdpSocket) {
    let due = edge.steer.borrow_mut().due_messages(clock::now());
    send_each(socket, due).await;
}

async fn send_each(socket: &UdpSocket, messages: Vec<(SocketAddr, Message)>) {
    for (host, message) in messages {
        tell(socket, &message, &[host]).await;
    }
}

async fn tell(socket: &UdpSocket, message: &Message, hosts: &[SocketAddr]) {
    let Ok(datagram) = postcard::to_allocvec(message) else { return };
    let datagram = bytes::Bytes::from(datagram);
    for host in hosts {
        let _ = socket.send_to(datagram.clone(), *host).await;
    }
}

/// Takes beats in until the process ends.
pub async fn receive(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let asking = TableFetcher::new(edge.clone());
    ask_seeds(&edge, &asking);
    let mut buffer = Vec::with_capacity(DATAGRAM);
    loop {
        buffer.clear();
        let BufResult(result, back) = socket.recv_from(buffer).await;
        buffer = back;
        let Ok((length, from)) = result else { continue };
        match postcard::from_bytes::<Message>(&buffer[..length.min(buffer.len())]) {
            Ok(Message::Heartbeat(beat)) => hear(&edge, &asking, &beat),
            Ok(Message::UsageReport(report)) => {
                let (verdict, due) = {
                    let (mut steer, now) = (edge.steer.borrow_mut(), clock::now());
                    let verdict = steer.on_usage_report(now, &report);
                    (verdict, steer.due_broadcasts(now))
                };
                tell(&socket, &Message::UsageReply(verdict), &[from]).await;
                send_each(&socket, due).await;
            }
            Ok(Message::FractionBroadcast(spread)) => {
                let due = edge.steer.borrow_mut().on_broadcast(clock::now(), &spread);
                send_each(&socket, due).await;
            }
            Ok(Message::RolloutReport(report)) => {
                edge.steer.borrow_mut().on_rollout_report(clock::now(), *report);
            }
            Ok(Message::UsageReply(verdict)) => {
                edge.steer.borrow_mut().on_usage_reply(clock::now(), &verdict);
            }
            Err(_) => metrics::counter!("elmstream_datagrams_unreadable").increment(1),
        }
    }
}

fn hear(edge: &Edge, asking: &TableFetcher, beat: &Heartbeat) {
    let news = edge.steer.borrow_mut().on_heartbeat(clock::now(), beat);
    let Some(news) = news else { return };
    if news.joined {
        edge.event_log.state_change("host_heard", json!({"host": beat.host.name}));
    }
    poison::note(edge, &beat.host.name, &news.refused);
    for server in &news.leaving {
        let fields = json!({"server": server, "from": beat.host.name});
        edge.event_log.state_change("server_leaving", fields);
    }
    for (server, limit) in &news.limits {
        server_hints::note_limit(edge, &beat.host.name, server, *limit);
    }
    for (table, _) in news.outdated_tables {
        asking.offer(table, beat.host.peers, &beat.tables[table as usize]);
    }
}

fn empty(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Asks the seeds for all that they know, as a host does that has just started.
fn ask_seeds(edge: &Edge, asking: &TableFetcher) {
    for table in REQUIRED_TABLES {
        for seed in edge.settings.seeds.iter().filter(|seed| **seed != edge.settings.host.peers) {
            asking.offer(table, *seed, &TableStatus::default());
        }
    }
}

/// Serves another host's request for rows.
///
/// Only a few are served at once, as all hosts ask the one that has news first, and
/// large news over a thin link would reach each of them late. Those that are turned
/// away ask one that has been served meanwhile.
pub async fn serve(
    edge: Rc<Edge>,
    gate: ConcurrencyLimit,
    request: Request<Incoming>,
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
    // A host that knows nothing says so at once, as those that ask it have just started.
    let knows = edge.steer.borrow().table_statuses()[table as usize].last_read.is_some();
    let pass = gate.try_acquire();
    if knows && pass.is_none() {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let rows = {
        let steer = edge.steer.borrow();
        let starts = after == StoreVersion::default();
        let all_hosts = starts && steer.has_host_list();
        let mut hosts = hosts_told(&steer, all_hosts);
        hosts.push(edge.settings.host.peers);
        let endings = if starts { steer.poison().refused_crashes() } else { Vec::new() };
        let table =
            steer.rows_for(clock::now(), table, SyncRequest { after, complete_to: complete });
        PeerRows { table, hosts, all_hosts, endings }
    };
    let bytes = postcard::to_allocvec(&rows).unwrap_or_default();
    let pace = Duration::from_micros(bytes.len() as u64 * MICROS_A_BYTE);
    compio::runtime::spawn(async move {
        compio::time::sleep(pace).await;
        drop(pass);
    })
    .detach();
    Ok(Response::new(body::full(bytes)))
}

/// Addresses of other hosts that go with rows: all for a host that has just started.
fn hosts_told(steer: &Steer, all: bool) -> Vec<SocketAddr> {
    let now = clock::now();
    if all {
        return steer.members().contact_addresses(now);
    }
    // Another number each time, so that all hosts are told in the end.
    steer.members().sample((now.0 / MILLI) as usize, HOSTS_TOLD)
}

/// Lets time pass for the decisions until the process ends.
pub async fn tick(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut suspension = clock::Suspension::default();
    for count in 0u64.. {
        compio::time::sleep(TICK).await;
        if let Some(away) = suspension.look() {
            metrics::counter!("elmstream_suspensions").increment(1);
            edge.event_log.write("suspended", json!({"for_ms": away / MILLI}));
        }
        report(&edge, &socket).await;
        if count.is_multiple_of(SEEDS_EVERY) {
            for seed in &edge.settings.seeds {
                edge.steer.borrow_mut().add_peer_address(clock::now(), *seed);
            }
        }
        if let Some(error) = edge.pool.unbounded() {
            edge.event_log.write("silence_unbounded", json!({"error": error.to_string()}));
        }
        let changes = edge.steer.borrow_mut().tick(clock::now());
        edge.log_changes("time", &changes);
        let steer = edge.steer.borrow();
        let (held_back, unanswered) = steer.quota_counts(clock::now());
        metrics::gauge!("elmstream_store_era").set(steer.era() as f64);
        metrics::gauge!("elmstream_store_rows_held").set(steer.view().retained_count() as f64);
        metrics::gauge!("elmstream_servers_limited").set(steer.limited_servers() as f64);
        metrics::gauge!("elmstream_workspaces_held_back").set(held_back as f64);
        metrics::gauge!("elmstream_workspaces_unanswered").set(unanswered as f64);
        edge.pool.sweep(|id| steer.servers().find(id).is_some());
    }
}
