//! Requests that are under way while the services of the configuration change.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use futures_util::future::join;
use http::Method;
use support::{request, with_fleet};

/// A service without servers, so that its requests wait for an owner for half a second.
const REMOVED: &str = "removed";

#[test]
fn request_whose_service_is_removed_while_it_waits_for_an_owner_is_refused() {
    with_fleet(
        |configuration| {
            let mut removed = configuration.services[0].clone();
            removed.name = REMOVED.into();
            removed.hosts.clear();
            configuration.services.push(removed);
        },
        async |running| {
            let mut next = running.configuration.clone();
            next.services.retain(|service| service.name != REMOVED);
            let host = running.fleet.hosts[0].settings.listen.callers;
            let sent = elmstream_bench::fleet::send(host, request(Method::GET, REMOVED, "r"));
            let operator = &mut running.operator;
            let changed = async {
                compio::time::sleep(Duration::from_millis(100)).await;
                operator.apply(1, &next).await.unwrap()
            };
            let (answer, reply) = join(sent, changed).await;
            assert_eq!(reply.code, 0, "{}", reply.message);
            let later =
                elmstream_bench::fleet::send(host, request(Method::GET, "status", "s")).await;
            assert!(later.is_ok(), "the host serves on: {later:?}, before: {answer:?}");
            let answer = answer.expect("an answer");
            assert_eq!(answer.header("elmstream-outcome"), Some("not-run"), "{answer:?}");
        },
    );
}
