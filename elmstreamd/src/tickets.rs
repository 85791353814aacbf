//! Tickets as callers receive them: hexadecimal text, signed with the cluster key.

use elmstream::tickets::Ticket;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of the HMAC-SHA256 signature, in bytes.
const SIGNATURE_BYTES: usize = 32;

/// Key that signs and verifies tickets.
#[derive(Clone)]
pub struct TicketKey(Hmac<Sha256>);

impl TicketKey {
    /// Derives the ticket key from the text of the cluster key.
    pub fn new(cluster_key: &str) -> TicketKey {
        let mac = Hmac::new_from_slice(cluster_key.as_bytes());
        TicketKey(mac.expect("HMAC takes a key of any length"))
    }

    /// Returns the ticket as text: signature and encoded ticket in hexadecimal. `None` if it
    /// cannot be encoded.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let encoded = postcard_bytes(ticket)?;
        let mut mac = self.0.clone();
        mac.update(&encoded);
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.extend(encoded);
        Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns the ticket in a text. `None` if the text is malformed or its signature is wrong.
    pub fn verify(&self, text: &str) -> Option<Ticket> {
        let bytes = from_hex(text)?;
        let (signature, encoded) = bytes.split_at_checked(SIGNATURE_BYTES)?;
        let mut mac = self.0.clone();
        mac.update(encoded);
        mac.verify_slice(signature).ok()?;
        elmstream_proto::peer::decode(encoded).ok()
    }
}

fn postcard_bytes(ticket: &Ticket) -> Option<Vec<u8>> {
    let framed = elmstream_proto::peer::encode(ticket).ok()?;
    Some(framed[elmstream_proto::peer::LENGTH_BYTES..].to_vec())
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let digit_pairs = text.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digit_pairs.map(byte).collect()
}
