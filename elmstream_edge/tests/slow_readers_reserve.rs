//! Memory that a host reserves for bodies of which hardly a byte has come. A test of its own, as
//! the memory is that of the process.

mod support;

use std::{fs, time::Duration};

use compio::{io::AsyncWriteExt, net::TcpStream};
use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{Running, Store, configuration, ip, run, settings, start_with, until};

/// Stated length of each body, in bytes.
const STATED_BYTES: u64 = 60 << 20;
/// Uploads at once.
const UPLOADS: usize = 8;
/// Memory that they may reserve together, in kilobytes.
const RESERVED_KB_MAX: u64 = 16 << 10;

/// Private writable memory of this process, resident or not, in kilobytes.
fn reserved_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system is Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmData:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

async fn host(total_bytes: u64) -> Running {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
    let at = ip();
    let mut settings = settings(at, &[]);
    settings.buffers.total_bytes = total_bytes;
    let host = start_with(at, settings, &store);
    assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
    host
}

/// Kilobytes that stalled uploads make the host reserve.
async fn reserved_for_uploads(host: &Running) -> u64 {
    let mut stalled = Vec::new();
    let before = reserved_kb();
    for number in 0..UPLOADS {
        let mut stream = TcpStream::connect(host.callers).await.expect("a connection");
        let head = format!(
            "POST /thing HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: id-{number}\r\n\
             content-length: {STATED_BYTES}\r\n\r\nx"
        );
        stream.write_all(head).await.0.expect("the head is sent");
        stalled.push(stream);
    }
    compio::time::sleep(Duration::from_millis(200)).await;
    reserved_kb().saturating_sub(before)
}

/// Load: callers state large bodies and send one byte.
#[test]
fn stated_lengths_reserve_no_memory() {
    run(async || {
        let unbounded = host(0).await;
        let reserved = reserved_for_uploads(&unbounded).await;
        println!("{reserved} kB without a bound");
        assert!(reserved <= RESERVED_KB_MAX, "{reserved} kB reserved without a bound");
        assert_eq!(unbounded.edge.buffers.held(), 0, "nothing is counted");
        let bounded = host(1 << 30).await;
        let reserved = reserved_for_uploads(&bounded).await;
        println!("{reserved} kB with a bound");
        assert!(reserved <= RESERVED_KB_MAX, "{reserved} kB reserved with a bound");
        assert_eq!(bounded.edge.buffers.held(), UPLOADS as u64 * STATED_BYTES);
    });
}
