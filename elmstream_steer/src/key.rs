//! Keys that callers show, as digests.
//!
//! Only the digest of a key is kept, told to other hosts or compared, so no message, log
//! line or memory image of another host holds a key.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Bytes of a digest: the first half of SHA-256, as a key cannot be found from it and no
/// two of a configuration's keys share it by chance.
const BYTES: usize = 16;

/// Digest of a key.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// Digest of a key as a caller shows it.
    pub fn of(key: &[u8]) -> KeyDigest {
        let whole = Sha256::digest(key);
        let mut digest = [0; BYTES];
        digest.copy_from_slice(&whole[..BYTES]);
        KeyDigest(digest)
    }

    /// Where it stands among others. What a caller can learn from the time of a search by
    /// it concerns the digest only, which says nothing of other keys.
    pub(crate) fn sort_key(&self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first.iter().fold(0, |place, byte| place << 8 | u64::from(*byte))
    }
}

/// In constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

/// Digests are not written down either.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
