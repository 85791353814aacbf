//! Checks of settings and configurations, and edits between configurations.

use elmstream::code::Code;
use elmstream_config::{
    Configuration, Settings,
    compile::compile,
    difference::{apply, difference},
};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

/// Seed of the generated cases.
const SEED: u64 = 20_261_202;

fn valid_document() -> Value {
    json!({
        "regions": [{"name": "north"}, {"name": "south"}],
        "failure_domains": [{"name": "na", "region": "north"}, {"name": "sa", "region": "south"}],
        "sites": [{"name": "town", "home_region": "north", "blocks": ["10.1.0.0/16"]}],
        "services": [{"name": "orders"}],
        "backend_servers": [{"name": "o1", "service": "orders", "failure_domain": "na",
                             "address": "127.0.0.1:1", "slots": 4}],
        "shift_caps": [{"service": "orders", "from": "north", "to": "south", "per_second": 5}],
        "links": [{"from": "north", "to": "south", "delay_us": 10000}],
        "drains": [{"kind": "region", "name": "south"}]
    })
}

fn error_code(change: impl FnOnce(&mut Value)) -> Option<Code> {
    let mut document = valid_document();
    change(&mut document);
    Configuration::parse(&document.to_string()).err().map(|e| e.code())
}

#[test]
fn each_configuration_fault_has_its_error_code() {
    assert_eq!(error_code(|_| {}), None);
    let cases: [(&str, Value, Code); 9] = [
        ("/services/0/colour", json!("red"), Code::ConfigurationSyntax),
        ("/failure_domains/0/region", json!("west"), Code::ConfigurationReference),
        ("/backend_servers/0/service", json!("none"), Code::ConfigurationReference),
        ("/backend_servers/0/slots", json!(0), Code::ConfigurationRange),
        ("/backend_servers/0/address", json!("here"), Code::ConfigurationSyntax),
        ("/regions/1/name", json!("north"), Code::ConfigurationDuplicate),
        ("/shift_caps/0/to", json!("north"), Code::ConfigurationRange),
        ("/drains/0/name", json!("west"), Code::ConfigurationReference),
        ("/services/0/headroom_percent", json!(101), Code::ConfigurationRange),
    ];
    for (pointer, value, code) in cases {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let change = |d: &mut Value| d.pointer_mut(parent).unwrap()[key] = value;
        assert_eq!(error_code(change), Some(code), "{pointer}");
    }
    let two = json!([{"name": "a", "home_region": "north", "blocks": ["10.1.0.0/16"]},
                     {"name": "b", "home_region": "south", "blocks": ["10.1.0.0/16"]}]);
    assert_eq!(error_code(|d| d["sites"] = two), Some(Code::ConfigurationOverlap));
}

#[test]
fn error_contains_path_of_invalid_key() {
    let mut document = valid_document();
    document["backend_servers"][0]["slots"] = json!("four");
    let error = Configuration::parse(&document.to_string()).unwrap_err().to_string();
    assert!(error.contains("E3101 backend_servers[0].slots"), "{error}");
}

#[test]
fn applying_difference_yields_new_configuration() {
    let old = Configuration::parse(&valid_document().to_string()).unwrap();
    let mut next = old.clone();
    next.backend_servers[0].slots = 8;
    next.drains.clear();
    next.regions.push(elmstream_config::document::Region { name: "west".into() });
    let edits = difference(&old, &next);
    assert_eq!(edits.len(), 3);
    assert_eq!(apply(&old, &edits).unwrap(), next);
    assert!(difference(&next, &next).is_empty());
}

/// `apply` compares only the blocks of edited sites. This guards against an edit
/// that it accepts although the whole configuration is invalid, or the reverse.
#[test]
fn apply_rejects_overlapping_blocks_like_parse() {
    fn property(towns: Vec<u8>, villages: Vec<u8>) -> bool {
        let mut old = Configuration::parse(&valid_document().to_string()).unwrap();
        let block = |n: &u8| format!("10.{}.0.0/16", n % 32).parse().unwrap();
        old.sites[0].blocks = towns.iter().map(block).collect();
        let Ok(old) = Configuration::parse(&old.to_text()) else { return true };
        let mut next = old.clone();
        next.sites.push(old.sites[0].clone());
        next.sites[1].name = "village".into();
        next.sites[1].blocks = villages.iter().map(block).collect();
        let applied = apply(&old, &difference(&old, &next)).map_err(|e| e.code());
        applied == Configuration::parse(&next.to_text()).map_err(|e| e.code())
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(6, SEED);
    let property = property as fn(Vec<u8>, Vec<u8>) -> bool;
    QuickCheck::new().rng(source).tests(500).quickcheck(property);
}

/// Corrupts bytes of a valid configuration. Parsing must return a configuration
/// that compiles, or a numbered error, and never panic.
#[test]
fn corrupted_configuration_never_panics() {
    fn property(offset: usize, bytes: Vec<u8>) -> bool {
        let mut text = valid_document().to_string().into_bytes();
        let offset = offset % text.len();
        text.splice(offset..(offset + bytes.len() / 2).min(text.len()), bytes);
        let text = String::from_utf8_lossy(&text);
        match Configuration::parse(&text) {
            Ok(configuration) => compile(&configuration, 1).revision == 1,
            Err(error) => error.code().number() >= 3101,
        }
    }
    println!("seed {SEED}");
    let property = property as fn(usize, Vec<u8>) -> bool;
    let source = Gen::from_size_and_seed(30, SEED);
    QuickCheck::new().rng(source).tests(2_000).quickcheck(property);
}

fn valid_settings() -> Value {
    json!({
        "name": "host-1", "failure_domain": "na",
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
        "cluster": {"key": "/dev/null"},
        "platform": {"table": "http://127.0.0.1:4", "objects": "http://127.0.0.1:4",
                     "hosts": "http://127.0.0.1:4/hosts"}
    })
}

#[test]
fn each_settings_fault_has_its_error_number_and_path() {
    assert!(Settings::parse(&valid_settings().to_string()).is_ok());
    let cases = [
        ("/colour", json!("red"), "E3002"),
        ("/name", json!(""), "E3002 name"),
        ("/listen/callers", json!("here"), "E3003 listen.callers"),
        ("/platform/table", json!("http://table.example"), "E3003 platform.table"),
        ("/cluster/key", json!("/nowhere/key"), "E3004 cluster.key"),
        ("/logging", json!({"level": "loud"}), "E3002 logging.level"),
        (
            "/operators",
            json!([{"name": "o", "role": "read", "token_sha256": "x"}]),
            "E3002 operators[0]",
        ),
        ("/callers", json!({"certificate": "/dev/null"}), "E3002 callers.key"),
    ];
    for (pointer, value, expected) in cases {
        let mut document = valid_settings();
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        document.pointer_mut(parent).unwrap()[key] = value;
        let error = Settings::parse(&document.to_string()).unwrap_err().to_string();
        assert!(error.starts_with(expected), "{pointer}: {error}");
    }
}
