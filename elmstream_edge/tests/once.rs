//! Requests that must not be repeated run at most once, and a refusal means that the request
//! did not run.

mod support;

use std::{net::SocketAddr, time::Duration};

use elmstream_steer::model::Repeatability;
use support::{
    CLOSE_MARK, backend, good, header, ip, run, send_request, send_request_within, serving, until,
};

/// Successful requests that deposit a retry in the budget.
const BUDGET_REQUESTS: usize = 30;

fn cut_connection(head: &str) -> Vec<u8> {
    match head.contains("/cut") {
        true => CLOSE_MARK.to_vec(),
        false => good(head, "ok"),
    }
}

fn refuse_full(head: &str) -> Vec<u8> {
    let refused = "HTTP/1.1 503 Full\r\nelmstream-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    match head.contains("/full") {
        true => refused.into(),
        false => good(head, "ok"),
    }
}

#[test]
fn request_with_a_lost_response_is_sent_once_and_is_unknown() {
    run(async || {
        let (first, got_first) = backend(ip(), cut_connection).await;
        let (second, got_second) = backend(ip(), cut_connection).await;
        let (_store, host) = serving(Repeatability::Once, &[first, second]).await;
        for n in 0..BUDGET_REQUESTS {
            send_request(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        for n in 0..5 {
            let answer =
                send_request(host.callers, &format!("id-{n}"), "/cut").await.expect("an answer");
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
fn repeatable_request_with_a_lost_response_is_sent_to_another_server() {
    run(async || {
        let (bad, _) = backend(ip(), cut_connection).await;
        let (healthy, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Safe, &[bad, healthy]).await;
        for n in 0..BUDGET_REQUESTS {
            send_request(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        for n in 0..3 {
            let answer =
                send_request(host.callers, &format!("id-{n}"), "/cut").await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn full_server_is_retried_elsewhere_within_the_budget() {
    run(async || {
        let (one, got_one) = backend(ip(), refuse_full).await;
        let (two, got_two) = backend(ip(), refuse_full).await;
        let (_store, host) = serving(Repeatability::Once, &[one, two]).await;
        let answer = send_request(host.callers, "id-0", "/full").await.expect("an answer");
        assert_eq!(answer.status, 503, "the retry budget is empty");
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(got_one.requests.borrow().len() + got_two.requests.borrow().len(), 1);
        for n in 0..BUDGET_REQUESTS {
            send_request(host.callers, &format!("e-{n}"), &format!("/fine/{n}")).await;
        }
        // A server that reported to be full gets no requests for a moment.
        compio::time::sleep(Duration::from_millis(150)).await;
        got_one.requests.take();
        got_two.requests.take();
        let answer = send_request(host.callers, "id-1", "/full").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(got_one.requests.borrow().len() + got_two.requests.borrow().len(), 2);
    });
}

#[test]
fn request_without_any_server_is_refused_immediately() {
    run(async || {
        let (_store, host) = serving(Repeatability::Once, &[]).await;
        let answer = send_request(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(answer.took < Duration::from_millis(200), "it took {:?}", answer.took);
    });
}

/// Status, and whether there is a Retry-After, of the response to a request without a route.
async fn unrouted_request(host: SocketAddr) -> (u16, bool) {
    let sender = elmstream_http::client::connect(host, Duration::from_secs(1)).await;
    let request = http::Request::builder().uri("/").header("host", "nobody.example");
    let request = request.body(elmstream_http::body::empty()).expect("a request");
    let answer = sender.expect("a connection").send_request(request).await.expect("an answer");
    (answer.status().as_u16(), answer.headers().contains_key("retry-after"))
}

#[test]
fn missing_route_gets_404() {
    run(async || {
        let (_store, host) = serving(Repeatability::Once, &[]).await;
        assert_eq!(unrouted_request(host.callers).await, (404, false));
    });
}

#[test]
fn stale_host_answers_503_for_a_missing_route() {
    run(async || {
        let (store, host) = serving(Repeatability::Once, &[]).await;
        store.down.set(true);
        // Three fifths of the configuration bound, and the duration of a call.
        compio::time::sleep(Duration::from_millis(1_900)).await;
        assert_eq!(unrouted_request(host.callers).await, (503, true));
        store.down.set(false);
        let can_deny = || host.edge.steer.borrow().can_deny_routes(elmstreamd::clock::now());
        assert!(until(Duration::from_secs(2), can_deny).await, "the store is found back");
        assert_eq!(unrouted_request(host.callers).await, (404, false));
    });
}

#[test]
fn silent_server_is_awaited_until_the_route_timeout() {
    run(async || {
        let (address, received) = backend(ip(), |_| Vec::new()).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let answer = send_request(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 504);
        assert!(
            answer.took >= Duration::from_millis(760) && answer.took < Duration::from_millis(1_200)
        );
        let heads = received.requests.take();
        let remaining_ms: u64 = header(&heads[0], "elmstream-deadline").parse().expect("a number");
        assert!((600..=800).contains(&remaining_ms), "the server received {remaining_ms} ms");
        assert_eq!(header(&heads[0], "elmstream-server"), "s-0");
    });
}

#[test]
fn server_connection_is_closed_when_the_caller_leaves() {
    run(async || {
        let (address, received) = backend(ip(), |_| Vec::new()).await;
        let (_store, host) = serving(Repeatability::Safe, &[address]).await;
        assert!(
            send_request_within(host.callers, "id-0", "/thing", Duration::from_millis(100))
                .await
                .is_none()
        );
        assert!(until(Duration::from_millis(400), || received.closed.get() == 1).await);
    });
}

#[test]
fn server_connections_are_reused() {
    run(async || {
        let (address, received) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        for n in 0..20 {
            assert_eq!(
                send_request(host.callers, &format!("id-{n}"), "/t")
                    .await
                    .expect("an answer")
                    .status,
                200
            );
        }
        assert_eq!(received.connections.get(), 1);
    });
}
