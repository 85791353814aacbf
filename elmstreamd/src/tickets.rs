//! Tickets as callers see them: text with a signature by the cluster's key.

use elmstream::once::Ticket;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of the signature.
const SIGNATURE_BYTES: usize = 32;

/// Signs and checks tickets.
#[derive(Clone)]
pub struct TicketKey(Hmac<Sha256>);

impl TicketKey {
    /// A key from the cluster's key.
    pub fn new(cluster_key: &str) -> TicketKey {
        let mac = Hmac::new_from_slice(cluster_key.as_bytes());
        TicketKey(mac.expect("HMAC takes a key of any length"))
    }

    /// The ticket as text: hexadecimal of signature and ticket.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let coded = postcard_bytes(ticket)?;
        let mut mac = self.0.clone();
        mac.update(&coded);
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.extend(coded);
        Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The ticket, if the text is whole and its signature is right.
    pub fn verify(&self, text: &str) -> Option<Ticket> {
        let bytes = from_hex(text)?;
        let (signature, coded) = bytes.split_at_checked(SIGNATURE_BYTES)?;
        let mut mac = self.0.clone();
        mac.update(coded);
        mac.verify_slice(signature).ok()?;
        elmstream_proto::peer::decode(coded).ok()
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
    let pairs = text.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}
