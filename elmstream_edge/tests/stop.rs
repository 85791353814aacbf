//! A planned stop cuts nothing that is in flight.

mod support;

use std::time::Duration;

use elmstream_steer::model::Repeat;
use support::{ask, backend, good, ip, run, serving, until};

#[test]
fn requests_in_flight_are_answered_and_then_the_host_ends() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeat::Once, &[address]).await;
        let callers = host.callers;
        let asking: Vec<_> = (0..4)
            .map(|n| {
                compio::runtime::spawn(
                    async move { ask(callers, &format!("id-{n}"), "/slow").await },
                )
            })
            .collect();
        compio::time::sleep(Duration::from_millis(100)).await;
        host.terminate();
        for answer in asking {
            let answer = answer.await.expect("it does not panic").expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert!(until(Duration::from_secs(2), || host.ended.get()).await, "the host ends");
    });
}

#[test]
fn a_host_that_stops_says_so_at_once_and_still_serves_who_comes() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeat::Once, &[address]).await;
        host.terminate();
        assert!(until(Duration::from_millis(100), || !host.edge.serves()).await);
        let answer = ask(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}
