//! Addresses given to stand-ins and daemons are free when they are bound.

use std::{
    net::{TcpListener, UdpSocket},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use elmstream_bench::fleet::free_address;

/// Guards against an address that is still in use when it is bound. A child process holds
/// copies of all open sockets until it has executed its program, so a socket opened only to
/// test an address may outlive its owner.
#[test]
fn addresses_are_free_while_other_threads_start_processes() {
    let done = Arc::new(AtomicBool::new(false));
    let starters = (0..6).map(|_| {
        let done = done.clone();
        thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let _ = Command::new("true").status();
            }
        })
    });
    let starters: Vec<_> = starters.collect();
    let mut taken = 0;
    for _ in 0..3_000 {
        let address = free_address();
        let bound = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        taken += u32::from(!bound);
    }
    done.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().expect("it only starts processes");
    }
    assert_eq!(taken, 0, "of 3,000 addresses");
}
