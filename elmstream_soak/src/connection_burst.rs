//! Thousands of connections that come to a host at once, beside orders.

use std::{rc::Rc, time::Duration};

use compio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    callers::{HostConnection, Hosts, RequestParams},
    memory,
    world::World,
};

/// Connections of a burst that send no whole request.
const CONNECTIONS: usize = 2_000;
/// Connections that are opened before the next pause.
const CONNECTIONS_PER_BATCH: usize = 50;
/// Pause between two batches.
const BATCH_PAUSE: Duration = Duration::from_millis(5);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Every second connection sends a part of a head.
const PARTIAL_HEAD: &str = "GET /once/ HTTP/1.1\r\nhost: ";
/// Orders that are sent at the same time, each on a connection of its own.
const ORDERS: usize = 200;

/// Opens the connections of a burst, sends orders beside them, and closes the connections after
/// `duration`. Records a violation if the host holds more memory than it may.
pub async fn open(world: &Rc<World>, hosts: &Hosts, n: usize, duration: Duration) {
    let address = hosts.borrow()[n].caller_address();
    world.ledger.borrow_mut().count("connection bursts");
    let mut streams = Vec::new();
    let mut orders = Vec::new();
    for number in 0..CONNECTIONS {
        let opening = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        if let Ok(Ok(mut stream)) = opening.await {
            if number % 2 == 0 {
                // A host that is stopping may have closed the connection.
                let _ = stream.write_all(PARTIAL_HEAD).await;
            }
            streams.push(stream);
        }
        if number % (CONNECTIONS / ORDERS) == 0 {
            let id = format!("once-burst-{n}-{}-{number}", world.now());
            let (world, hosts) = (world.clone(), hosts.clone());
            orders.push(compio::runtime::spawn(async move { order(&world, &hosts, n, &id).await }));
        }
        if number % CONNECTIONS_PER_BATCH == 0 {
            compio::time::sleep(BATCH_PAUSE).await;
        }
    }
    compio::time::sleep(duration).await;
    memory::check(world, hosts, n);
    drop(streams);
    for order in orders {
        let _ = order.await;
    }
}

async fn order(world: &World, hosts: &Hosts, n: usize, id: &str) {
    if let Some(connection) = HostConnection::open(world, hosts, n).await {
        let params = RequestParams::with_newest_key(world);
        connection.request(world, hosts, "once", id, params).await;
    }
}
