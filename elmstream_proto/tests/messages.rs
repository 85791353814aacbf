//! Encoding of messages between hosts: round trip, size and malformed bytes.

use elmstream::{
    id::{HostRef, Incarnation},
    message::{Heartbeat, ServiceLoad},
};
use elmstream_proto::peer::{LENGTH_BYTES, Open, Push, Reply, decode, encode};
use quickcheck::{Gen, QuickCheck};

/// Seed of the generated cases.
const SEED: u64 = 20_261_202;

#[test]
fn decoding_restores_the_encoded_message() {
    let push = Push { revision: 7, edits: "[]".into(), forward_to: vec!["host-2".into()] };
    let open = Open::Push(push);
    let encoded = encode(&open).unwrap();
    assert_eq!(decode::<Open>(&encoded[LENGTH_BYTES..]).unwrap(), open);
}

/// Maximum size of a heartbeat with three services, in bytes. It takes 86, and the
/// margin is a tenth.
const HEARTBEAT_BYTES_MAX: usize = 95;

/// Every host sends heartbeats to several others all the time, so a field that
/// grows them costs bandwidth in the whole fleet.
#[test]
fn heartbeat_size_is_bounded() {
    let load = |service: &str| ServiceLoad {
        service: service.into(),
        slots: 40,
        in_flight: 17,
        queued: 2,
    };
    let heartbeat = Heartbeat {
        from: HostRef { host: "host-2899".into(), incarnation: Incarnation(u64::MAX / 3) },
        domain: "domain-19".into(),
        region: "region-6".into(),
        sequence: 1_000_000,
        epoch: 10_000,
        settled: true,
        revision: 100_000,
        leaving: false,
        loads: ["status", "release", "intake"].map(load).to_vec(),
        lingering: Vec::new(),
        sightings: Vec::new(),
    };
    let bytes = encode(&Open::Heartbeat(heartbeat)).unwrap().len();
    assert!(bytes <= HEARTBEAT_BYTES_MAX, "{bytes}");
}

/// Random bytes must decode to a message or to the numbered error, and never panic.
#[test]
fn malformed_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let has_error_number =
            |e: elmstream_proto::peer::CodecError| e.to_string().starts_with("E3201");
        decode::<Open>(&bytes).map_or_else(has_error_number, |_| true)
            && decode::<Reply>(&bytes).map_or_else(has_error_number, |_| true)
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().rng(source).tests(20_000).quickcheck(property as fn(Vec<u8>) -> bool);
}
