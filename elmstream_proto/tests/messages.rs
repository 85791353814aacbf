//! Messages between hosts: whatever the bytes, a message or a numbered error.

use elmstream_proto::peer::{LENGTH_BYTES, Open, Push, Reply, decode, encode};
use quickcheck::{Gen, QuickCheck};

/// Seed of the generated cases.
const SEED: u64 = 20_261_202;

#[test]
fn a_message_comes_back_as_it_was() {
    let push = Push { revision: 7, edits: "[]".into(), pass_on: vec!["host-2".into()] };
    let open = Open::Push(push);
    let coded = encode(&open).unwrap();
    assert_eq!(decode::<Open>(&coded[LENGTH_BYTES..]).unwrap(), open);
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
