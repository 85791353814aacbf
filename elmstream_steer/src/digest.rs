//! Digest that identifies equal requests.

use serde::{Deserialize, Serialize};

/// Length of a digest in bytes. With 128 bits, different requests do not collide by chance.
const DIGEST_BYTES: usize = 16;

/// Digest of the parts of a request that make it equal to another one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Truncates a longer digest to its first bytes.
    pub fn truncate(full: &[u8; 2 * DIGEST_BYTES]) -> RequestDigest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        RequestDigest(digest)
    }

    /// Formats the digest as hexadecimal digits, for logs and store keys.
    pub fn hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses a digest from hexadecimal digits; `None` if the text is anything else.
    pub fn from_hex(text: &str) -> Option<RequestDigest> {
        // `from_str_radix` accepts a sign.
        let digits =
            text.len() == 2 * DIGEST_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
        Some(RequestDigest(number.to_be_bytes()))
    }
}
