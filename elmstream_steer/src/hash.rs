//! Hashes that are equal on all hosts.

use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a text or of bytes.
pub fn of(bytes: impl AsRef<[u8]>) -> u64 {
    xxh3_64(bytes.as_ref())
}

/// Hash of the address at which a host receives messages of other hosts.
pub fn address(address: SocketAddr) -> u64 {
    of(address.to_string())
}

/// Weight of a pair in rendezvous hashing; the highest weight wins.
pub fn combine(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// Maps a hash to a number from 0 up to 1.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
