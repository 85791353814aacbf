//! Callers who come back after a refusal.

mod support;

use elmstream_steer::{
    Pick, PickRequest, model::Repeatability, returning_callers::ReturningCallers,
};
use support::{SERVICE, ms, ready, route, server};

#[test]
fn a_caller_with_clearly_less_time_than_usual_comes_back() {
    let mut returns = ReturningCallers::default();
    assert!(!returns.is_returning(ms(0), "r", 2_000));
    assert!(!returns.is_returning(ms(10), "r", 2_000));
    assert!(!returns.is_returning(ms(20), "r", 1_950), "the way here takes a little");
    assert!(returns.is_returning(ms(30), "r", 1_700));
    assert!(!returns.is_returning(ms(40), "other", 1_700), "routes differ");
}

#[test]
fn what_is_usual_is_learned_anew_once_it_is_no_longer_seen() {
    let mut returns = ReturningCallers::default();
    assert!(!returns.is_returning(ms(0), "r", 2_000));
    assert!(returns.is_returning(ms(9_000), "r", 1_000));
    assert!(!returns.is_returning(ms(11_000), "r", 1_000));
    assert!(!returns.is_returning(ms(12_000), "r", 1_000));
    assert!(returns.is_returning(ms(12_010), "r", 700));
}

fn taken(returning: bool) -> usize {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let route = route(Repeatability::Once, &[]);
    let mut sent = |key: &u64| {
        let ask = PickRequest {
            route: &route,
            service: SERVICE,
            key: *key,
            tried: &[],
            returning,
            homes: &[],
        };
        matches!(host.pick_server(ms(10), &ask), Pick::Send(_))
    };
    (0..60).take_while(|key| sent(key)).count()
}

#[test]
fn who_comes_back_finds_room_where_newcomers_are_refused() {
    assert!(taken(true) >= taken(false) + 4, "{} and {}", taken(true), taken(false));
}
