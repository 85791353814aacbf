//! Detection of callers that retry after a refusal, and their longer maximum wait.

mod support;

use elmstream_steer::{
    Pick, PickRequest, homes::Homes, model::Repeatability, returning_callers::ReturningCallers,
};
use support::{SERVICE, ms, ready, route, server};

#[test]
fn caller_with_clearly_less_remaining_time_is_returning() {
    let mut callers = ReturningCallers::default();
    assert!(!callers.is_returning(ms(0), "r", 2_000));
    assert!(!callers.is_returning(ms(10), "r", 2_000));
    assert!(!callers.is_returning(ms(20), "r", 1_950), "network latency makes no difference");
    assert!(callers.is_returning(ms(30), "r", 1_700));
    assert!(!callers.is_returning(ms(40), "other", 1_700), "routes are independent");
}

#[test]
fn usual_remaining_time_is_replaced_once_no_longer_seen() {
    let mut callers = ReturningCallers::default();
    assert!(!callers.is_returning(ms(0), "r", 2_000));
    assert!(callers.is_returning(ms(9_000), "r", 1_000));
    assert!(!callers.is_returning(ms(11_000), "r", 1_000));
    assert!(!callers.is_returning(ms(12_000), "r", 1_000));
    assert!(callers.is_returning(ms(12_010), "r", 700));
}

fn accepted(returning: bool) -> usize {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let route = route(Repeatability::Once, &[]);
    let mut sent = |key: &u64| {
        let request = PickRequest {
            route: &route,
            service: SERVICE,
            key: *key,
            tried: &[],
            withheld: &[],
            returning,
            homes: Homes { route: &route.homes, workspace: &[] },
            priority: route.priority,
            workspace: None,
            remaining_ms: route.timeout_ms,
        };
        matches!(host.pick_server(ms(10), &request), Pick::Send(_))
    };
    (0..60).take_while(|key| sent(key)).count()
}

#[test]
fn returning_callers_are_accepted_where_new_ones_are_refused() {
    assert!(accepted(true) >= accepted(false) + 4, "{} and {}", accepted(true), accepted(false));
}
