//! What makes two requests the same, as a digest.

use serde::{Deserialize, Serialize};

/// Bytes of a digest: no two requests share 128 bits by chance.
const DIGEST: usize = 16;

/// Digest of what makes two requests the same.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestDigest(pub [u8; DIGEST]);

impl RequestDigest {
    /// The first bytes of a longer digest.
    pub fn truncate(whole: &[u8; 2 * DIGEST]) -> RequestDigest {
        let mut digest = [0; DIGEST];
        digest.copy_from_slice(&whole[..DIGEST]);
        RequestDigest(digest)
    }

    /// As hexadecimal digits, for lines and the store's keys.
    pub fn hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// From hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<RequestDigest> {
        // The number's own reader would take a sign.
        let digits = text.len() == 2 * DIGEST && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
        Some(RequestDigest(number.to_be_bytes()))
    }
}
