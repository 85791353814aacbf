//! Properties of single tables: token buckets, address blocks, tickets and result
//! codes.

use std::net::{IpAddr, Ipv4Addr};

use elmstream::{
    block::{Block, BlockTable},
    code::{Code, Outcome},
    id::{HostRef, Incarnation, SiteId},
    tickets::{TicketDecision, TicketTable},
    time::{MILLI, SECOND, Time},
    token_bucket::{PARTS_PER_WHOLE, TokenBucket},
};
use quickcheck::{Gen, QuickCheck, Testable};

/// Seed of the generator.
const SEED: u64 = 20_261_202;
/// Generated cases for each property.
const CASES: u64 = 300;

fn check(property: impl Testable) {
    println!("seed {SEED}");
    QuickCheck::new().rng(Gen::from_size_and_seed(40, SEED)).tests(CASES).quickcheck(property);
}

/// Owners with arbitrary parts of a cap, used at arbitrary times, never pass more
/// than the cap in any second.
#[test]
fn parts_of_cap_stay_within_cap_in_any_second() {
    fn property(cap: u16, shares: Vec<u8>, gaps: Vec<u16>) -> bool {
        let total: u64 = shares.iter().map(|&s| u64::from(s)).sum::<u64>().max(1);
        let mut buckets = vec![TokenBucket::new(Time(0)); shares.len()];
        let mut now = Time(10 * SECOND);
        let mut passed = Vec::new();
        for gap in gaps {
            now = now + u64::from(gap) % (200 * MILLI);
            for (bucket, &share) in buckets.iter_mut().zip(&shares) {
                let part = PARTS_PER_WHOLE * u64::from(share) / total;
                while bucket.take(now, 1, u64::from(cap), part, 0) {
                    passed.push(now);
                }
            }
        }
        let exceeds_cap = |pair: &[Time]| pair[usize::from(cap)].since(pair[0]) < SECOND;
        !passed.windows(usize::from(cap) + 1).any(exceeds_cap)
    }
    check(property as fn(u16, Vec<u8>, Vec<u16>) -> bool);
}

/// Link bytes are taken in pieces of arbitrary size and never exceed the limit in
/// any second.
#[test]
fn link_bytes_stay_within_limit_in_any_second() {
    fn property(shares: Vec<u8>, pieces: Vec<(u16, u16)>) -> bool {
        const LIMIT: u64 = 100_000;
        let total: u64 = shares.iter().map(|&s| u64::from(s)).sum::<u64>().max(1);
        let mut buckets = vec![TokenBucket::new(Time(0)); shares.len()];
        let mut now = Time(10 * SECOND);
        let mut passed: Vec<(Time, u64)> = Vec::new();
        for (gap, bytes) in pieces {
            now = now + u64::from(gap) % (200 * MILLI);
            for (bucket, &share) in buckets.iter_mut().zip(&shares) {
                let part = PARTS_PER_WHOLE * u64::from(share) / total;
                passed.push((now, bucket.take_up_to(now, u64::from(bytes), LIMIT, part)));
            }
        }
        let sum = |(i, (from, _)): (usize, &(Time, u64))| {
            let second = passed[i..].iter().take_while(|(at, _)| at.since(*from) < SECOND);
            second.map(|(_, bytes)| bytes).sum::<u64>()
        };
        passed.iter().enumerate().map(sum).all(|bytes| bytes <= LIMIT)
    }
    check(property as fn(Vec<u8>, Vec<(u16, u16)>) -> bool);
}

#[test]
fn new_shift_ramps_up() {
    let mut bucket = TokenBucket::new(Time(0));
    let mut count = |from: u64, to: u64| {
        let times = (from..to).step_by(MILLI as usize).map(Time);
        times.filter(|&now| bucket.take(now, 1, 1_000, PARTS_PER_WHOLE, 10 * SECOND)).count()
    };
    let first = count(SECOND, 2 * SECOND);
    let later = count(11 * SECOND, 12 * SECOND);
    assert!(first < 400 && later > 700, "{first} then {later}");
}

/// The flattened table agrees with a linear search over all blocks.
#[test]
fn longest_prefix_wins() {
    fn property(blocks: Vec<(u32, u8)>, probes: Vec<u32>) -> bool {
        let block = |(site, &(address, bits)): (usize, &(u32, u8))| {
            let address = IpAddr::V4(Ipv4Addr::from(address & 0xff00_00ff));
            Block::new(address, bits % 33, SiteId(site as u32))
        };
        let mut blocks: Vec<Block> = blocks.iter().enumerate().map(block).collect();
        blocks.sort_by_key(|b| (b.first, b.bits));
        blocks.dedup_by_key(|b| (b.first, b.bits));
        let table = BlockTable::new(blocks.clone());
        probes.iter().all(|&probe| {
            let address = Ipv4Addr::from(probe & 0xff00_00ff);
            let key = address.to_ipv6_mapped().to_bits();
            let covering = blocks.iter().filter(|b| b.first <= key && key <= b.last());
            let best = covering.max_by_key(|b| b.bits).map(|b| b.site);
            table.site(IpAddr::V4(address)) == best
        })
    }
    check(property as fn(Vec<(u32, u8)>, Vec<u32>) -> bool);
}

/// Checks `run_once` and `not_run_is_true` of `spec/once.pml`.
#[test]
fn ticket_runs_once_unless_not_run() {
    let issuer = HostRef { host: "h".into(), incarnation: Incarnation(1) };
    let mut table = TicketTable::default();
    let ticket = table.issue(issuer, "release".into(), Time(10 * SECOND));
    let now = Time(SECOND);
    let begin = |table: &mut TicketTable, now| table.begin(now, &ticket, "release");
    assert_eq!(table.begin(now, &ticket, "other"), TicketDecision::Answer(Code::TicketBad));
    assert_eq!(begin(&mut table, now), TicketDecision::Run);
    assert_eq!(begin(&mut table, now), TicketDecision::Answer(Code::TicketRunning));
    table.end(ticket.id, true);
    assert_eq!(begin(&mut table, now), TicketDecision::Run, "the attempt did not run");
    table.end(ticket.id, false);
    assert_eq!(begin(&mut table, now), TicketDecision::Answer(Code::TicketUsed));
    let late = Time(11 * SECOND);
    table.expire(late);
    assert!(table.is_empty());
    assert_eq!(
        begin(&mut table, late),
        TicketDecision::Answer(Code::TicketBad),
        "an expired ticket is refused"
    );
}

#[test]
fn codes_of_possible_runs_are_not_reported_as_not_run() {
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
        if (1201..1300).contains(&code.number()) || (1304..1310).contains(&code.number()) {
            assert_eq!(code.outcome(), Outcome::Unknown, "{code:?}");
        }
    }
}

/// `docs/ERRORS.md` contains a row for each code, with its number, status,
/// outcome and text.
#[test]
fn code_reference_page_is_up_to_date() {
    let page = include_str!("../../docs/ERRORS.md");
    for code in Code::ALL {
        let status = if code.number() < 2000 { code.http_status().to_string() } else { "-".into() };
        let row = format!(
            "| {} | {code:?} | {status} | {} | {} |",
            code.number(),
            code.outcome().as_str(),
            code.text()
        );
        assert!(page.contains(&row), "docs/ERRORS.md lacks: {row}");
    }
}
