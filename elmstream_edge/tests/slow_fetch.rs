//! Rows that take long to arrive from another host.

mod support;

use std::{
    cell::Cell,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use elmstream_steer::{
    heartbeat::Message,
    model::{Repeatability, Route},
    view::{RowContent, RowKey},
};
use elmstreamd::clock;
use support::{PEERS, Running, Store, configuration, ip, run, start, until};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Routes of the large configuration.
const ROUTES: usize = 3_000;
/// What passes the slow link in each interval, so that the configuration takes longer than hosts
/// wait for a response to begin.
const PIECE_BYTES: usize = 16 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(80);

fn large_configuration(version: u64) -> RowContent {
    let RowContent::Configuration(mut large) = configuration(version, Repeatability::Safe) else {
        panic!("a configuration");
    };
    let template = large.routes[0].clone();
    let route = |number| Route {
        name: format!("route-{number}"),
        prefix: format!("/route-{number}/"),
        ..template.clone()
    };
    large.routes.extend((0..ROUTES).map(route));
    RowContent::Configuration(large)
}

/// Passes connections on to a host, its responses slowly. Counts the connections.
async fn slow_link(to: SocketAddr) -> (SocketAddr, Rc<Cell<usize>>) {
    let at = SocketAddr::new(ip(), PEERS);
    let listener = TcpListener::bind(at).await.expect("the port is free");
    let connections = Rc::new(Cell::new(0));
    let count = connections.clone();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            compio::runtime::spawn(pass_on(stream, to)).detach();
        }
    })
    .detach();
    (at, connections)
}

async fn pass_on(mut from: TcpStream, to: SocketAddr) {
    let mut host = TcpStream::connect(to).await.expect("the host listens");
    let BufResult(read, request) = from.read(Vec::with_capacity(4_096)).await;
    read.expect("a request");
    host.write_all(request).await.0.expect("the host reads");
    loop {
        let BufResult(read, piece) = host.read(Vec::with_capacity(PIECE_BYTES)).await;
        if read.unwrap_or_default() == 0 || from.write_all(piece).await.0.is_err() {
            return;
        }
        compio::time::sleep(PIECE_INTERVAL).await;
    }
}

/// Lets a host hear of another one that is reached over a slow link.
fn hear(host: &Running, other: &Running, link: SocketAddr) {
    let mut heartbeat = other.edge.steer.borrow_mut().next_heartbeat(clock::now());
    heartbeat.host.name = "behind-a-slow-link".into();
    heartbeat.host.peers = link;
    let message = Message::Heartbeat(Box::new(heartbeat));
    let datagram = postcard::to_allocvec(&message).expect("it can be written");
    let socket = UdpSocket::bind((ip(), 0)).expect("a port");
    socket.send_to(&datagram, host.edge.settings.host.peers).expect("the host listens");
}

#[test]
fn configuration_that_arrives_slowly_is_fetched_once_and_whole() {
    run(async || {
        let (old, new) = (Store::default(), Store::default());
        old.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
        new.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
        let host = start(ip(), &old, &[]);
        let other = start(ip(), &new, &[]);
        assert!(until(TIMEOUT, || host.edge.serves() && other.edge.serves()).await);
        old.down.set(true);
        new.put(RowKey::Configuration, Some(large_configuration(2)));
        let version = |host: &Running| host.edge.steer.borrow().configuration_version();
        assert!(until(TIMEOUT, || version(&other) == Some(2)).await);
        let (link, connections) = slow_link(other.edge.settings.host.peers).await;
        for _ in 0..25 {
            hear(&host, &other, link);
            compio::time::sleep(Duration::from_millis(100)).await;
            if version(&host) == Some(2) {
                break;
            }
        }
        assert_eq!(version(&host), Some(2));
        assert!(connections.get() <= 2, "{} connections", connections.get());
    });
}
