//! Requests that a host gives up while a backend server works on them.

mod support;

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use compio::{buf::BufResult, io::AsyncRead, net::TcpListener};
use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{Store, configuration, ip, run, send_request, server, settings, start_with, until};

const TIMEOUT: Duration = Duration::from_secs(3);

/// After a plain close the kernel still delivers what a cut path holds up.
#[test]
fn connection_of_a_request_that_is_given_up_is_reset() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let ends: Rc<RefCell<Vec<io::Result<usize>>>> = Rc::default();
        let seen = ends.clone();
        compio::runtime::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let seen = seen.clone();
                compio::runtime::spawn(async move {
                    let mut has_head = false;
                    loop {
                        let BufResult(read, _) = stream.read(Vec::with_capacity(65_536)).await;
                        match read {
                            Ok(length) if length > 0 => has_head = true,
                            end if has_head => return seen.borrow_mut().push(end),
                            _ => return,
                        }
                    }
                })
                .detach();
            }
        })
        .detach();
        let store = Store::default();
        store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
        store.put(RowKey::Server("s".into()), Some(server(address)));
        let at = ip();
        let host = start_with(at, settings(at, &[]), &store);
        let is_ready = || host.edge.serves() && host.edge.steer.borrow().has_host_list();
        assert!(until(TIMEOUT, is_ready).await);
        send_request(host.callers, "r", "/").await.expect("an answer");
        assert!(until(TIMEOUT, || !ends.borrow().is_empty()).await);
        let kinds: Vec<_> = ends
            .borrow()
            .iter()
            .map(|end| end.as_ref().map_err(|error| error.kind()).copied())
            .collect();
        assert_eq!(kinds, vec![Err(io::ErrorKind::ConnectionReset)]);
    });
}
