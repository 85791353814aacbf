//! From a request's id to its cause.

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
fn a_refusal_names_what_it_was_weighed_with() {
    let told = explain(LOG.lines(), "a2").expect("the log knows it").join("\n");
    assert!(told.contains("E1102"), "{told}");
    assert!(told.contains("19 servers weighed, 70% of their slots occupied"), "{told}");
    assert!(told.contains("outlasted the route's objective"), "{told}");
    assert!(told.contains("-0.5 s store_lost"), "{told}");
}

#[test]
fn an_unknown_outcome_names_each_try_and_what_was_believed_of_its_servers() {
    let told = explain(LOG.lines(), "a3").expect("the log knows it").join("\n");
    assert!(told.contains("sent to \"i-1\": \"no_connection\" after 3 ms"), "{told}");
    assert!(told.contains("did not answer in the request's time"), "{told}");
    assert!(told.contains("-53.0 s server {\"from\":\"store\",\"server\":\"i-1\""), "{told}");
    assert!(told.contains("-3.0 s server"), "{told}");
    assert!(told.contains("-2.0 s servers"), "{told}");
    assert!(!told.contains("i-2\",\"state\":\"gone"), "a belief of long after: {told}");
}

#[test]
fn an_unknown_id_or_a_cut_line_is_no_request() {
    assert!(explain(LOG.lines(), "a1").is_none());
    assert!(explain(LOG.lines(), "a9").is_none());
}

#[test]
fn a_refusal_to_spare_servers_names_what_they_asked_for() {
    let log = r#"{"unix_ms":151000,"event":"server_rests","server":"i-1","for_ms":3000}
{"unix_ms":151500,"event":"server_limit","server":"i-2","per_s":2.5,"from":"host-2"}
{"unix_ms":152000,"event":"refused","id":"s1","code":1102,"reason":"Spared","status":503,"took_ms":0,"servers":0,"spared":2,"load_percent":0,"route":"r","service":"s","version":3,"stale_ms":90}"#;
    let told = explain(log.lines(), "s1").expect("it is known").join("\n");
    assert!(told.contains("asked this host for rest"), "{told}");
    assert!(told.contains("2 servers left out for their rest or their limit"), "{told}");
    assert!(told.contains("-1.0 s server_rests"), "{told}");
    assert!(told.contains("-0.5 s server_limit"), "{told}");
}

const WORKSPACES: &str = r#"
{"unix_ms":152000,"event":"denied","id":"d1","code":1004,"route":"r","status":401,"version":3,"stale_ms":90}
{"unix_ms":152000,"event":"denied","id":"d2","code":1118,"route":"r","status":503,"version":3,"stale_ms":2900}
{"unix_ms":152000,"event":"limited","id":"l1","code":1119,"route":"r","status":429,"version":3,"workspace":"w","rate_per_s":4.5,"burst":9.0,"retry_ms":700}
"#;

#[test]
fn a_return_of_the_store_is_named() {
    let log = r#"{"unix_ms":150000,"event":"store_returned","table":"Rules","era":2,"era_before":1,"version":60,"version_before":100,"changed":0,"held":1,"rows":["configuration"],"from":"store"}
{"unix_ms":152000,"event":"no_route","id":"e1","code":1002,"status":404,"version":20,"stale_ms":90}"#;
    let told = explain(log.lines(), "e1").expect("it is known").join("\n");
    assert!(told.contains("-2.0 s store_returned"), "{told}");
    assert!(told.contains(r#""rows":["configuration"]"#), "{told}");
}

#[test]
fn a_denied_and_a_limited_request_name_their_cause() {
    let told = |id| explain(WORKSPACES.lines(), id).expect("the log knows it").join("\n");
    assert!(told("d1").contains("E1004: no workspace has this key"), "{}", told("d1"));
    assert!(told("d1").contains("lets none in"), "{}", told("d1"));
    assert!(told("d2").contains("what this host knew was old"), "{}", told("d2"));
    assert!(told("l1").contains("of workspace w"), "{}", told("l1"));
    assert!(told("l1").contains("limit 4.5 a second and 9.0 on top, come back in 700 ms"));
    assert!(told("l1").contains("over its limit"), "{}", told("l1"));
}

const HARMFUL: &str = r#"
{"unix_ms":150000,"event":"refuses","content":"00ff","servers_ended":3,"generations":3,"own":false,"from":"host-2"}
{"unix_ms":152000,"event":"harmful","id":"h1","code":1120,"content":"00ff","route":"r","service":"s","status":503,"took_ms":0,"version":3,"stale_ms":90,"servers_ended":3,"generations":3,"last_s_ago":7,"own":false}
"#;

#[test]
fn a_request_that_is_refused_for_harm_names_the_servers_and_who_told() {
    let told = explain(HARMFUL.lines(), "h1").expect("the log knows it").join("\n");
    assert!(told.contains("E1120"), "{told}");
    assert!(told.contains("3 servers ended under it, the last one 7 s before"), "{told}");
    assert!(told.contains("ended one after another"), "{told}");
    assert!(told.contains("refuses") && told.contains("host-2"), "{told}");
}

const ROLLOUT: &str = r#"
{"unix_ms":100000,"event":"rollout","service":"s","target":"v2","stage":null,"from":"store"}
{"unix_ms":100500,"event":"rollout_written","service":"s","target":"v2","stage":"trial","order":"1.7","good":null,"bad":null,"cause":null}
{"unix_ms":104000,"event":"rollout_written","service":"s","target":"v2","stage":"rolled_back","order":"1.7","good":20,"bad":7,"cause":{"route":"r","good":4,"bad":6,"servers":3,"usual":0.02}}
"#;

#[test]
fn a_version_that_was_turned_away_is_explained_by_its_service() {
    let told = explain(ROLLOUT.lines(), "s").expect("the log knows it").join("\n");
    assert!(told.contains("-4.0 s rollout"), "{told}");
    assert!(told.contains("6 of 10 answers of 3 of its servers on route r failed"), "{told}");
    let plain =
        ROLLOUT.replace(r#"{"route":"r","good":4,"bad":6,"servers":3,"usual":0.02}"#, "null");
    let told = explain(plain.lines(), "s").expect("the log knows it").join("\n");
    assert!(told.contains("20 good and 7 bad answers were too few"), "{told}");
    assert_eq!(explain(ROLLOUT.lines(), "another"), None);
}
