//! Messages between hosts: whatever the bytes, a message or a numbered error.

use elmstream::{
    id::{HostRef, Incarnation},
    message::{Heartbeat, ServiceLoad},
};
use elmstream_proto::peer::{LENGTH_BYTES, Open, Push, Reply, decode, encode};
use quickcheck::{Gen, QuickCheck};

/// Seed of the generated cases.
const SEED: u64 = 20_261_202;

#[test]
fn a_message_comes_back_as_it_was() {
    let push = Push { revision: 7, edits: "[]".into(), forward_to: vec!["host-2".into()] };
    let open = Open::Push(push);
    let coded = encode(&open).unwrap();
    assert_eq!(decode::<Open>(&coded[LENGTH_BYTES..]).unwrap(), open);
}

/// Bytes of a heartbeat with three services: measured 86, a margin of a tenth.
const HEARTBEAT_BYTES: usize = 95;

#[test]
fn a_heartbeat_stays_small() {
    let load = |service: &str| ServiceLoad {
        service: service.into(),
        slots: 40,
        in_flight: 17,
        queued: 2,
    };
    let beat = Heartbeat {
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
    let bytes = encode(&Open::Heartbeat(beat)).unwrap().len();
    assert!(bytes <= HEARTBEAT_BYTES, "{bytes}");
}

#[test]
fn no_bytes_make_it_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let told = |e: elmstream_proto::peer::CodecError| e.to_string().starts_with("E3201");
        decode::<Open>(&bytes).map_or_else(told, |_| true)
            && decode::<Reply>(&bytes).map_or_else(told, |_| true)
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().rng(source).tests(20_000).quickcheck(property as fn(Vec<u8>) -> bool);
}
