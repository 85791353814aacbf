//! What may not be repeated runs at most once, and a refusal means that it did not.

mod support;

use std::{net::SocketAddr, time::Duration};

use elmstream_steer::model::Repeatability;
use support::{CLOSE, ask, ask_within, backend, good, header, ip, run, serving, until};

/// Enough good requests for the budget to hold a repeat.
const EARNING: usize = 30;

fn cut(head: &str) -> Vec<u8> {
    match head.contains("/cut") {
        true => CLOSE.to_vec(),
        false => good(head, "ok"),
    }
}

fn full(head: &str) -> Vec<u8> {
    let refused = "HTTP/1.1 503 Full\r\nelmstream-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    match head.contains("/full") {
        true => refused.into(),
        false => good(head, "ok"),
    }
}

#[test]
fn a_request_whose_answer_is_lost_is_sent_once_and_is_unknown() {
    run(async || {
        let (first, got_first) = backend(ip(), cut).await;
        let (second, got_second) = backend(ip(), cut).await;
        let (_store, host) = serving(Repeatability::Once, &[first, second]).await;
        for n in 0..EARNING {
            ask(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        for n in 0..5 {
            let answer = ask(host.callers, &format!("id-{n}"), "/cut").await.expect("an answer");
            assert_eq!(answer.status, 502);
        }
        let all = [got_first.requests.take(), got_second.requests.take()].concat();
        for n in 0..5 {
            let sent =
                all.iter().filter(|head| header(head, "elmstream-request") == format!("id-{n}"));
            assert_eq!(sent.count(), 1);
        }
    });
}

#[test]
fn a_repeatable_request_whose_answer_is_lost_is_sent_to_another_server() {
    run(async || {
        let (bad, _) = backend(ip(), cut).await;
        let (well, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Safe, &[bad, well]).await;
        for n in 0..EARNING {
            ask(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        for n in 0..3 {
            let answer = ask(host.callers, &format!("id-{n}"), "/cut").await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_server_that_is_full_is_passed_over_within_the_budget() {
    run(async || {
        let (one, got_one) = backend(ip(), full).await;
        let (two, got_two) = backend(ip(), full).await;
        let (_store, host) = serving(Repeatability::Once, &[one, two]).await;
        let answer = ask(host.callers, "id-0", "/full").await.expect("an answer");
        assert_eq!(answer.status, 503, "nothing was earned yet");
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(got_one.requests.borrow().len() + got_two.requests.borrow().len(), 1);
        for n in 0..EARNING {
            ask(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        // A server that said it is full is left alone for a moment.
        compio::time::sleep(Duration::from_millis(150)).await;
        got_one.requests.take();
        got_two.requests.take();
        let answer = ask(host.callers, "id-1", "/full").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(got_one.requests.borrow().len() + got_two.requests.borrow().len(), 2);
    });
}

#[test]
fn a_request_without_any_server_is_refused_at_once() {
    run(async || {
        let (_store, host) = serving(Repeatability::Once, &[]).await;
        let answer = ask(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(answer.took < Duration::from_millis(200), "it took {:?}", answer.took);
    });
}

/// The status, and whether the caller is asked to come back, of a request that no
/// route fits.
async fn unknown(host: SocketAddr) -> (u16, bool) {
    let sender = elmstream_http::client::connect(host, Duration::from_secs(1)).await;
    let request = http::Request::builder().uri("/").header("host", "nobody.example");
    let request = request.body(elmstream_http::body::empty()).expect("a request");
    let answer = sender.expect("a connection").send_request(request).await.expect("an answer");
    (answer.status().as_u16(), answer.headers().contains_key("retry-after"))
}

#[test]
fn a_route_that_is_not_there_is_told() {
    run(async || {
        let (_store, host) = serving(Repeatability::Once, &[]).await;
        assert_eq!(unknown(host.callers).await, (404, false));
    });
}

#[test]
fn a_host_whose_knowledge_is_old_does_not_say_that_a_route_is_not_there() {
    run(async || {
        let (store, host) = serving(Repeatability::Once, &[]).await;
        store.down.set(true);
        // Three fifths of the bound on configurations, and what a call takes.
        compio::time::sleep(Duration::from_millis(1_900)).await;
        assert_eq!(unknown(host.callers).await, (503, true));
        store.down.set(false);
        let told = || host.edge.steer.borrow().can_deny_routes(elmstreamd::clock::now());
        assert!(until(Duration::from_secs(2), told).await, "the store is found back");
        assert_eq!(unknown(host.callers).await, (404, false));
    });
}

#[test]
fn a_silent_server_is_waited_for_until_the_routes_time_is_over() {
    run(async || {
        let (address, got) = backend(ip(), |_| Vec::new()).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let answer = ask(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 504);
        assert!(
            answer.took >= Duration::from_millis(760) && answer.took < Duration::from_millis(1_200)
        );
        let heads = got.requests.take();
        let left: u64 = header(&heads[0], "elmstream-deadline").parse().expect("a number");
        assert!((600..=800).contains(&left), "the server was told {left} ms");
        assert_eq!(header(&heads[0], "elmstream-server"), "s-0");
    });
}

#[test]
fn when_the_caller_leaves_the_servers_connection_is_closed() {
    run(async || {
        let (address, got) = backend(ip(), |_| Vec::new()).await;
        let (_store, host) = serving(Repeatability::Safe, &[address]).await;
        assert!(
            ask_within(host.callers, "id-0", "/thing", Duration::from_millis(100)).await.is_none()
        );
        assert!(until(Duration::from_millis(400), || got.closed.get() == 1).await);
    });
}

#[test]
fn connections_to_servers_are_kept() {
    run(async || {
        let (address, got) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        for n in 0..20 {
            assert_eq!(
                ask(host.callers, &format!("id-{n}"), "/t").await.expect("an answer").status,
                200
            );
        }
        assert_eq!(got.connections.get(), 1);
    });
}
