//! Digests of the keys that callers present.
//!
//! Only the digest of a key is stored, sent to other hosts or compared, so no message, log line or
//! memory image of another host contains a key.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a digest in bytes: the first half of SHA-256. A key cannot be recovered from it, and
/// two keys of a configuration do not collide by chance.
const DIGEST_BYTES: usize = 16;

/// Digest of a key. Comparisons take constant time.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as the caller presents it.
    pub fn of(key: &[u8]) -> KeyDigest {
        let full = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    /// Prefix of the digest for sorting. The time of a search by it reveals something about the
    /// presented digest only, not about other keys.
    pub(crate) fn sort_key(&self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first.iter().fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

/// Compares in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

/// Omits the digest, so that it does not get into logs.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
