//! Guards against hosts that are killed for memory when thousands of callers connect at once.
//!
//! The failure: each connection took 59 KB from its accept on and 84 KB with a request under way, and
//! nothing bounded their number. Callers who came in a burst ended hosts of 260 MB, and with them
//! the requests that had been passed on.
//!
//! Tests of their own process, as resident memory is that of the process; they take turns.

mod support;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use elmstream_edge::resources::{IDLE_CONNECTION_BYTES, REQUEST_BYTES, Resources};
use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{
    Running, Store, backend, configuration, good, ip, run, server, settings, start_with, until,
};

/// Connections that come at once.
const CONNECTIONS: usize = 2_000;
/// Connections that are opened before the host gets time to accept them.
const CONNECTIONS_PER_TURN: usize = 50;
/// Time in which a host has processed what was sent.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// A request that waits for the rest of its body.
const PARTIAL_REQUEST: &str = "POST /thing HTTP/1.1\r\nhost: shop.example\r\n\
     elmstream-request: id-1\r\ncontent-length: 10\r\n\r\nhalf";
const PARTIAL_HEAD: &str = "GET /thing HTTP/1.1\r\nhost: ";

static TURN: Mutex<()> = Mutex::new(());

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system is Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") << 10
}

/// Opens connections from outside the host's runtime, so that they cost no memory but the host's.
async fn open(host: SocketAddr, count: usize, sent: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..count {
        let mut stream = TcpStream::connect(host).expect("a connection");
        stream.write_all(sent.as_bytes()).expect("it is sent");
        streams.push(stream);
        if number % CONNECTIONS_PER_TURN == 0 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    compio::time::sleep(SETTLE_TIME).await;
    streams
}

/// Start of the response that waits on a connection.
fn response(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 4_096];
    stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a limit");
    let length = stream.read(&mut bytes).unwrap_or_default();
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// A host with one server, within `resources`.
async fn host(resources: Resources) -> Running {
    let (address, _) = backend(ip(), |head| good(head, "ok")).await;
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
    store.put(RowKey::Server("s-0".into()), Some(server(address)));
    let at = ip();
    let mut settings = settings(at, &[]);
    settings.resources = resources;
    let host = start_with(at, settings, &store);
    assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
    host
}

/// Memory that `CONNECTIONS` take at a host, each.
async fn bytes_each(sent: &str) -> u64 {
    let host = host(Resources::default()).await;
    let before = resident_bytes();
    let streams = open(host.callers, CONNECTIONS, sent).await;
    assert_eq!(host.edge.connections.open(), CONNECTIONS);
    let taken = resident_bytes().saturating_sub(before) / CONNECTIONS as u64;
    drop(streams);
    assert!(until(Duration::from_secs(5), || host.edge.connections.open() == 0).await);
    taken
}

/// Memory that is free again in the process would hide what the second kind takes, so the one that
/// takes less comes first.
#[test]
fn connections_that_come_at_once_take_no_more_memory_than_the_bounds_assume() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    run(async || {
        let silent = bytes_each("").await;
        assert!(silent <= IDLE_CONNECTION_BYTES, "{silent} bytes for a silent connection");
        let head = bytes_each(PARTIAL_HEAD).await + silent;
        assert!(head <= REQUEST_BYTES, "{head} bytes for a partly sent head");
        let request = bytes_each(PARTIAL_REQUEST).await + head;
        assert!(request <= REQUEST_BYTES, "{request} bytes for a request under way");
        println!("{silent}, {head}, {request} bytes");
    });
}

/// The bounds hold, whatever callers open, and callers beyond them get an answer.
#[test]
fn host_whose_callers_open_all_that_they_can_stays_within_its_memory() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    run(async || {
        let resources = Resources { memory_bytes: 64 << 20, file_descriptors: 3_000 };
        let bounds = resources.connection_bounds();
        let host = host(resources).await;
        let before = resident_bytes();
        let requests = open(host.callers, bounds.busy, PARTIAL_REQUEST).await;
        let idle = open(host.callers, bounds.open - bounds.busy, "").await;
        let connections = &host.edge.connections;
        assert_eq!((connections.open(), connections.busy()), (bounds.open, bounds.busy));
        let mut beyond = open(host.callers, CONNECTIONS_PER_TURN, PARTIAL_REQUEST).await;
        for stream in &mut beyond {
            let response = response(stream).to_ascii_lowercase();
            assert!(response.starts_with("http/1.1 503"), "{response}");
            assert!(response.contains("elmstream-code: 1122"), "{response}");
            assert!(response.contains("retry-after: "), "{response}");
            assert!(response.contains("connection: close"), "{response}");
        }
        let taken = resident_bytes().saturating_sub(before);
        assert!(taken <= resources.memory_bytes / 2, "{taken} bytes");
        assert_eq!(connections.busy(), bounds.busy);
        assert!(connections.open() <= bounds.open + CONNECTIONS_PER_TURN);
        drop((requests, idle, beyond));
        assert!(until(Duration::from_secs(5), || connections.open() == 0).await);
    });
}
