//! What hosts tell each other: beats by datagram, rows of the view by HTTP.
//!
//! Beats are small and many, and a lost one does not matter, so they go by UDP.
//! A beat that shows news makes its receiver fetch the rows that it lacks.

use std::{cell::RefCell, collections::BTreeSet, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{buf::BufResult, net::UdpSocket};
use elmstream::time::MILLI;
use elmstream_http::{LocalBody, body, client, server::Cut};
use elmstream_steer::{
    beat::{Beat, Known},
    members,
    view::{Row, TABLES, Table},
};
use elmstreamd::clock;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{edge::Edge, gate::Gate};

/// Path of the view's rows.
const ROWS: &str = "/v1/rows";
/// Largest datagram.
const DATAGRAM: usize = 16 << 10;
/// Time between two looks at whether a beat is due.
const LOOK: Duration = Duration::from_millis(50);
/// Least time between two beats if there is news that must not wait.
const URGENT: Duration = Duration::from_millis(100);
/// Time in which rows must have come.
const FETCH: Duration = Duration::from_millis(700);
/// Addresses of hosts that go with rows.
const HOSTS_TOLD: usize = 48;
/// Requests for rows that are served at once.
pub const SERVED: usize = 4;
/// Time that a served request keeps its place for each byte, as what was handed to
/// the connection is not yet on its way: together they use 8 Mbit/s at most.
const MICROS_A_BYTE: u64 = 4;
/// Hosts that are asked for a table at once.
const FETCHES: usize = 3;
/// Seeds are tried again after this many ticks, as all may have been away at first.
const SEEDS_EVERY: u64 = 100;
/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);

/// What a host knows beyond a version, and which hosts it knows.
#[derive(Debug, Deserialize, Serialize)]
struct Rows {
    known: [Known; 2],
    rows: Vec<Row>,
    hosts: Vec<SocketAddr>,
}

/// Sends beats until the process ends.
pub async fn send(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut round = 0u64;
    loop {
        round += 1;
        let hosts = beat(&edge, &socket, round).await;
        let pause = Duration::from_micros(members::pause(hosts));
        let mut waited = Duration::ZERO;
        while waited < pause && (waited < URGENT || !edge.steer.borrow().urgent()) {
            let step = LOOK.min(pause - waited);
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
        (steer.beat(now), steer.targets(now, round), steer.members().count())
    };
    tell(socket, &beat, &targets.near).await;
    beat.lessons.clear();
    beat.words.clear();
    tell(socket, &beat, &targets.far).await;
    hosts
}

async fn tell(socket: &UdpSocket, beat: &Beat, hosts: &[SocketAddr]) {
    let Ok(datagram) = postcard::to_allocvec(beat) else { return };
    let datagram = bytes::Bytes::from(datagram);
    for host in hosts {
        let _ = socket.send_to(datagram.clone(), *host).await;
    }
}

/// Fetches under way, by host and table.
type Fetching = Rc<RefCell<BTreeSet<(Table, SocketAddr)>>>;

/// Takes beats in until the process ends.
pub async fn receive(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let fetching = Fetching::default();
    let mut buffer = Vec::with_capacity(DATAGRAM);
    loop {
        buffer.clear();
        let BufResult(result, back) = socket.recv_from(buffer).await;
        buffer = back;
        let Ok((length, _)) = result else { continue };
        let Ok(beat) = postcard::from_bytes::<Beat>(&buffer[..length.min(buffer.len())]) else {
            continue;
        };
        let news = edge.steer.borrow_mut().hear(clock::now(), &beat);
        let Some(news) = news else { continue };
        if news.joined {
            edge.journal.belief("host_heard", json!({"host": beat.host.name}));
        }
        for (table, version) in news.wanted {
            start_fetch(&edge, &fetching, beat.host.peers, table, version);
        }
    }
}

/// Starts a fetch, unless this host or enough others are being asked.
///
/// Several are asked at once, as one that does not answer must not hold up what
/// another one knows.
fn start_fetch(
    edge: &Rc<Edge>,
    fetching: &Fetching,
    address: SocketAddr,
    table: Table,
    after: u64,
) {
    let mut under_way = fetching.borrow_mut();
    let asked = under_way.iter().filter(|(asked, _)| *asked == table).count();
    if asked >= FETCHES || !under_way.insert((table, address)) {
        return;
    }
    let (edge, fetching) = (edge.clone(), fetching.clone());
    compio::runtime::spawn(async move {
        let _ = fetch(&edge, address, table, after).await;
        fetching.borrow_mut().remove(&(table, address));
    })
    .detach();
}

/// Fetches the rows of a table after a version, and the addresses of hosts.
pub async fn fetch(edge: &Edge, address: SocketAddr, table: Table, after: u64) -> io::Result<()> {
    let fetched = compio::time::timeout(FETCH, get(address, table, after)).await;
    let fetched = fetched.map_err(|_| io::ErrorKind::TimedOut)??;
    let now = clock::now();
    let known = fetched.known[table as usize];
    let changes = {
        let mut steer = edge.steer.borrow_mut();
        for host in fetched.hosts {
            steer.suppose(now, host);
        }
        if known.reading.is_none() {
            return Ok(());
        }
        steer.told(now, table, known, fetched.rows)
    };
    edge.note(&address.to_string(), &changes);
    Ok(())
}

async fn get(address: SocketAddr, table: Table, after: u64) -> io::Result<Rows> {
    let mut sender = client::connect(address, FETCH).await?;
    let uri = format!("{ROWS}?table={}&after={after}", table as usize);
    let request = Request::builder().uri(uri).header("host", address.to_string());
    let request = request.body(body::empty()).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    if !response.status().is_success() {
        return Err(io::ErrorKind::ResourceBusy.into());
    }
    let whole = response.into_body().collect().await.map_err(io::Error::other)?;
    postcard::from_bytes(&whole.to_bytes()).map_err(io::Error::other)
}

/// Serves another host's request for rows.
///
/// Only a few are served at once, as all hosts ask the one that has news first, and
/// large news over a thin link would reach each of them late. Those that are turned
/// away ask one that has been served meanwhile.
pub async fn serve(
    edge: Rc<Edge>,
    gate: Gate,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Cut> {
    let Some(pass) = gate.enter() else {
        let mut response = Response::new(body::empty());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    };
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let table = field("table").and_then(|number| TABLES.get(number as usize).copied());
    let (ROWS, Some(table), Some(after)) = (request.uri().path(), table, field("after")) else {
        let mut response = Response::new(body::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    };
    let rows = {
        let steer = edge.steer.borrow();
        let known = steer.known();
        // Another number each time, so that all hosts are told in the end.
        let turn = (clock::now().0 / MILLI) as usize;
        let mut hosts = steer.members().some(turn, HOSTS_TOLD);
        hosts.push(edge.settings.host.peers);
        Rows { known, rows: steer.view().since(table, after), hosts }
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

/// Lets time pass for the decisions until the process ends.
pub async fn tick(edge: Rc<Edge>) {
    for count in 0u64.. {
        compio::time::sleep(TICK).await;
        if count.is_multiple_of(SEEDS_EVERY) {
            for seed in &edge.settings.seeds {
                edge.steer.borrow_mut().suppose(clock::now(), *seed);
            }
        }
        let changes = edge.steer.borrow_mut().tick(clock::now());
        edge.note("time", &changes);
        let steer = edge.steer.borrow();
        edge.pool.sweep(|id| steer.servers().find(id).is_some());
    }
}
