//! Tests of the checks on the settings of decisions under load.

use elmstream_edge::Settings;
use elmstream_steer::policies::Policies;
use serde_json::{Value, json};

fn parse(policies: Option<Value>) -> Result<Policies, String> {
    let mut text = json!({
        "host": {
            "name": "h", "domain": "a1", "region": "a",
            "callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081",
        },
        "domains": {"a1": "a"},
    });
    if let Some(policies) = policies {
        text["policies"] = policies;
    }
    let parsed = Settings::parse(&text.to_string()).map_err(|error| error.to_string())?;
    Ok(parsed.policies)
}

#[test]
fn without_policies_all_of_them_are_off() {
    let policies = parse(None).expect("policies are optional");
    assert_eq!(policies, Policies::default());
    assert_eq!(policies.placement.domain_cost_ms, 0.0);
    assert_eq!(policies.speed.report_decay_ms, 0);
    assert!(!policies.retries.by_worth);
}

#[test]
fn wrong_policies_are_rejected_with_the_key() {
    let cases = [
        (json!({"placement": {"domain_cost_ms": -1}}), "placement.domain_cost_ms"),
        (json!({"placement": {"domain_cost_ms": 40}}), "placement.region_cost_ms"),
        (json!({"placement": {"own_load_max": 1.5}}), "placement.own_load_max"),
        (json!({"placement": {"domain_kb_cost_ms": -1}}), "placement.domain_kb_cost_ms"),
        (json!({"placement": {"copies": 2}}), "copies"),
        (json!({"speed": {"probe": true}}), "probe"),
        (json!({"contention": {"enabled": true}}), "contention"),
        (json!({"retries": {"by_wealth": true}}), "policies"),
    ];
    for (policies, key) in cases {
        let error = parse(Some(policies)).expect_err(key);
        assert!(error.starts_with("E3002") && error.contains(key), "{key}: {error}");
    }
}
