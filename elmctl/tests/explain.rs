//! Explanations of requests and roll-outs from a host's log.

use elmctl::explain::explain;

const LOG: &str = r#"
  12.1 host-1 {"unix_ms":100000,"event":"server","server":"i-1","state":"ready","from":"store"}
{"unix_ms":150000,"event":"server","server":"i-2","state":"silent","from":"time"}
{"unix_ms":151000,"event":"servers","states":{"gone":20},"lost":["i-1"],"from":"10.0.0.1:7100"}
{"unix_ms":151500,"event":"store_lost","table":"Servers","error":"no answer"}
{"unix_ms":152000,"event":"refused","id":"a1","code":1102,"reason":"Full","status":503,"took_ms":0,
not a line
{"unix_ms":152000,"event":"refused","id":"a2","code":1102,"reason":"Full","status":503,"took_ms":0,"servers":19,"load_percent":70,"route":"r","service":"s","version":3,"stale_ms":393}
{"unix_ms":153000,"event":"unknown","id":"a3","code":1201,"status":504,"took_ms":800,"route":"r","service":"s","version":3,"stale_ms":545,"tried":[{"server":"i-1","outcome":"no_connection","ms":3,"occupied":0},{"server":"i-2","outcome":"silent","ms":797,"occupied":7}]}
{"unix_ms":300000,"event":"server","server":"i-2","state":"gone","from":"store"}
"#;

#[test]
fn refusal_states_servers_and_load_considered() {
    let explanation = explain(LOG.lines(), "a2").expect("the log has it").join("\n");
    assert!(explanation.contains("E1102"), "{explanation}");
    assert!(
        explanation.contains("19 servers considered, 70% of their slots occupied"),
        "{explanation}"
    );
    assert!(explanation.contains("exceeded the route's objective"), "{explanation}");
    assert!(explanation.contains("-0.5 s store_lost"), "{explanation}");
}

#[test]
fn unknown_outcome_lists_attempts_and_state_changes_of_their_servers() {
    let explanation = explain(LOG.lines(), "a3").expect("the log has it").join("\n");
    assert!(explanation.contains("sent to \"i-1\": \"no_connection\" after 3 ms"), "{explanation}");
    assert!(explanation.contains("did not answer within the request's time"), "{explanation}");
    assert!(
        explanation.contains("-53.0 s server {\"from\":\"store\",\"server\":\"i-1\""),
        "{explanation}"
    );
    assert!(explanation.contains("-3.0 s server"), "{explanation}");
    assert!(explanation.contains("-2.0 s servers"), "{explanation}");
    assert!(
        !explanation.contains("i-2\",\"state\":\"gone"),
        "a state change long after the request: {explanation}"
    );
}

#[test]
fn unknown_id_or_truncated_line_is_not_explained() {
    assert!(explain(LOG.lines(), "a1").is_none());
    assert!(explain(LOG.lines(), "a9").is_none());
}

#[test]
fn refusal_to_spare_servers_states_back_off_and_limit() {
    let log = r#"{"unix_ms":151000,"event":"server_rests","server":"i-1","for_ms":3000}
{"unix_ms":151500,"event":"server_limit","server":"i-2","per_s":2.5,"from":"host-2"}
{"unix_ms":152000,"event":"refused","id":"s1","code":1102,"reason":"Spared","status":503,"took_ms":0,"servers":0,"spared":2,"load_percent":0,"route":"r","service":"s","version":3,"stale_ms":90}"#;
    let explanation = explain(log.lines(), "s1").expect("the log has it").join("\n");
    assert!(explanation.contains("asked this host for a back-off"), "{explanation}");
    assert!(
        explanation.contains("2 servers left out because of back-off or their limit"),
        "{explanation}"
    );
    assert!(explanation.contains("-1.0 s server_rests"), "{explanation}");
    assert!(explanation.contains("-0.5 s server_limit"), "{explanation}");
}

const WORKSPACE_LOG: &str = r#"
{"unix_ms":152000,"event":"denied","id":"d1","code":1004,"route":"r","status":401,"version":3,"stale_ms":90}
{"unix_ms":152000,"event":"denied","id":"d2","code":1118,"route":"r","status":503,"version":3,"stale_ms":2900}
{"unix_ms":152000,"event":"limited","id":"l1","code":1119,"route":"r","status":429,"version":3,"workspace":"w","rate_per_s":4.5,"burst":9.0,"retry_ms":700}
"#;

#[test]
fn restored_store_is_listed() {
    let log = r#"{"unix_ms":150000,"event":"store_returned","table":"Rules","era":2,"era_before":1,"version":60,"version_before":100,"changed":0,"held":1,"rows":["configuration"],"from":"store"}
{"unix_ms":152000,"event":"no_route","id":"e1","code":1002,"status":404,"version":20,"stale_ms":90}"#;
    let explanation = explain(log.lines(), "e1").expect("the log has it").join("\n");
    assert!(explanation.contains("-2.0 s store_returned"), "{explanation}");
    assert!(explanation.contains(r#""rows":["configuration"]"#), "{explanation}");
}

#[test]
fn denied_and_limited_requests_state_their_cause() {
    let explanation = |id| explain(WORKSPACE_LOG.lines(), id).expect("the log has it").join("\n");
    assert!(
        explanation("d1").contains("E1004: no workspace has this key"),
        "{}",
        explanation("d1")
    );
    assert!(
        explanation("d1").contains("in force here accepts, and the request has none"),
        "{}",
        explanation("d1")
    );
    assert!(
        explanation("d2").contains("this host's configuration was stale"),
        "{}",
        explanation("d2")
    );
    assert!(explanation("l1").contains("of workspace w"), "{}", explanation("l1"));
    assert!(
        explanation("l1").contains("limit 4.5 a second with a burst of 9.0, retry after 700 ms")
    );
    assert!(explanation("l1").contains("over its limit"), "{}", explanation("l1"));
}

const POISON_LOG: &str = r#"
{"unix_ms":150000,"event":"refuses","content":"00ff","servers_ended":3,"generations":3,"own":false,"from":"host-2"}
{"unix_ms":152000,"event":"harmful","id":"h1","code":1120,"content":"00ff","route":"r","service":"s","status":503,"took_ms":0,"version":3,"stale_ms":90,"servers_ended":3,"generations":3,"last_s_ago":7,"own":false}
"#;

#[test]
fn poison_refusal_states_crashes_and_reporting_host() {
    let explanation = explain(POISON_LOG.lines(), "h1").expect("the log has it").join("\n");
    assert!(explanation.contains("E1120"), "{explanation}");
    assert!(
        explanation.contains("3 servers crashed under it, the last one 7 s before"),
        "{explanation}"
    );
    assert!(explanation.contains("crashed one after another"), "{explanation}");
    assert!(explanation.contains("refuses") && explanation.contains("host-2"), "{explanation}");
}

const ROLLOUT_LOG: &str = r#"
{"unix_ms":100000,"event":"rollout","service":"s","target":"v2","stage":null,"from":"store"}
{"unix_ms":100500,"event":"rollout_written","service":"s","target":"v2","stage":"trial","order":"1.7","good":null,"bad":null,"cause":null}
{"unix_ms":104000,"event":"rollout_written","service":"s","target":"v2","stage":"rolled_back","order":"1.7","good":20,"bad":7,"cause":{"route":"r","good":4,"bad":6,"servers":3,"usual":0.02}}
"#;

#[test]
fn rolled_back_version_is_explained_by_its_service() {
    let explanation = explain(ROLLOUT_LOG.lines(), "s").expect("the log has it").join("\n");
    assert!(explanation.contains("-4.0 s rollout"), "{explanation}");
    assert!(
        explanation.contains("6 of 10 answers of 3 of its servers on route r failed"),
        "{explanation}"
    );
    let plain =
        ROLLOUT_LOG.replace(r#"{"route":"r","good":4,"bad":6,"servers":3,"usual":0.02}"#, "null");
    let explanation = explain(plain.lines(), "s").expect("the log has it").join("\n");
    assert!(explanation.contains("20 good and 7 bad answers were too few"), "{explanation}");
    assert_eq!(explain(ROLLOUT_LOG.lines(), "another"), None);
}
