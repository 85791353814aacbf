//! Memory of a host whose callers send more than it may hold. A test of its own, as the peak is
//! that of the process.

mod support;

use std::{fs, net::SocketAddr, time::Duration};

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use elmstream_steer::{
    model::Repeatability,
    view::{RowContent, RowKey},
};
use support::{Store, configuration, good, ip, run, server, settings, start_with, until};

/// Body of each upload; all callers send the same memory.
static BODY: [u8; 4 << 20] = [b'x'; 4 << 20];
/// Uploads at once.
const UPLOADS: usize = 60;
/// Bound on held bytes.
const TOTAL_BYTES: u64 = 16 << 20;
/// Memory that the host may take beyond the bound: for each upload 128 KiB of buffers at the host
/// and the server, which share the process, and the copy of one body.
const SLACK_KB: u64 = 12 << 10;
/// Uploads that must be served: half of those that the bound lets through in the 3 s in which a
/// body may wait, at half a second for each four.
const SERVED_MIN: usize = 12;

/// Largest resident memory of this process so far, in kilobytes.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system is Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// A server that takes half a second to answer a body that it has read.
async fn slow_server() -> SocketAddr {
    let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(answer(stream)).detach();
        }
    })
    .detach();
    address
}

async fn answer(mut stream: TcpStream) {
    loop {
        let (mut head, mut read) = (String::new(), 0);
        let mut end = None;
        while end.is_none_or(|end| read < end + 4 + BODY.len()) {
            let got = stream.read(Vec::with_capacity(65_536)).await;
            let Ok(1..) = got.0 else { return };
            read += got.1.len();
            if end.is_none() {
                head += &String::from_utf8_lossy(&got.1);
                end = head.find("\r\n\r\n");
            }
        }
        head.truncate(end.unwrap_or_default());
        compio::time::sleep(Duration::from_millis(500)).await;
        if stream.write_all(good(&head, "ok")).await.0.is_err() {
            return;
        }
    }
}

async fn upload(host: SocketAddr, number: usize) -> bool {
    let mut stream = TcpStream::connect(host).await.expect("a connection");
    let head = format!(
        "POST /thing HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: id-{number}\r\n\
         content-length: {}\r\n\r\n",
        BODY.len()
    );
    stream.write_all(head).await.0.expect("the head is sent");
    // A host that refuses closes the connection before it has read the body.
    let _ = stream.write_all(&BODY[..]).await;
    let answer = stream.read(Vec::with_capacity(4_096)).await;
    answer.0.is_ok() && answer.1.starts_with(b"HTTP/1.1 200")
}

/// Load: many large uploads at once, and servers that take their time.
#[test]
fn memory_stays_near_the_bound() {
    run(async || {
        let address = slow_server().await;
        let store = Store::default();
        let mut content = configuration(1, Repeatability::Once);
        if let RowContent::Configuration(configuration) = &mut content {
            (configuration.routes[0].objective_ms, configuration.routes[0].timeout_ms) =
                (3_000, 5_000);
        }
        store.put(RowKey::Configuration, Some(content));
        let mut row = server(address);
        if let RowContent::Server(server) = &mut row {
            server.slots = 64;
        }
        store.put(RowKey::Server("s-0".into()), Some(row));
        let at = ip();
        let mut settings = settings(at, &[]);
        settings.buffers.total_bytes = TOTAL_BYTES;
        let host = start_with(at, settings, &store);
        assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
        assert!(BODY.iter().all(|byte| *byte == b'x'), "the callers' memory is resident");
        let before = peak_kb();
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|number| compio::runtime::spawn(upload(host.callers, number)))
            .collect();
        let mut served = 0;
        for upload in uploads {
            served += usize::from(upload.await.expect("no panic"));
        }
        let taken = peak_kb() - before;
        let bound = TOTAL_BYTES / 1_024 + SLACK_KB;
        println!("{taken} kB taken, {served} served, {} held at most", host.edge.buffers.peak());
        assert!(taken <= bound, "{taken} kB taken; the bound allows {bound}");
        assert!(served >= SERVED_MIN, "{served} served");
        assert!(until(Duration::from_secs(3), || host.edge.buffers.held() == 0).await);
    });
}
