//! Digests that identify requests with equal content.

use elmstream_steer::digest::RequestDigest;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::callers::CallerRequest;

/// Digests of a request: of its content, and of its content and caller.
///
/// Both are needed. A request that crashes servers whoever sends it comes from several
/// addresses, and a caller's address may change. A request that does so for a single caller
/// only, for example because its session is corrupt, must not be cleared by the responses
/// that other callers get to equal content.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDigests {
    /// Digest of host, method, path with query, and body.
    pub any_caller: RequestDigest,
    /// Digest of that content and the caller: its workspace, else its address.
    pub this_caller: RequestDigest,
}

impl RequestDigests {
    /// Computes both digests with the fleet's `secret` as the key.
    ///
    /// They include nothing that changes with each attempt. Without the secret nobody can
    /// tell from a log line what was requested, even by guessing.
    pub fn of(secret: &str, call: &CallerRequest) -> RequestDigests {
        // HMAC accepts keys of any length, so this cannot fail.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret.as_bytes()) else {
            return RequestDigests::default();
        };
        let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
        for part in [&call.route.host, call.method.as_str(), path] {
            add_part(&mut mac, part.as_bytes());
        }
        add_part(&mut mac, &call.body);
        let any = truncate(mac.clone());
        let caller = match call.workspace_name() {
            "" => call.caller.to_string(),
            name => format!("={name}"),
        };
        add_part(&mut mac, caller.as_bytes());
        RequestDigests { any_caller: any, this_caller: truncate(mac) }
    }

    /// Both digests; the first is shared by more requests.
    pub fn both(&self) -> [RequestDigest; 2] {
        [self.any_caller, self.this_caller]
    }
}

/// Adds a part preceded by its length, so that adjacent parts cannot be confused.
fn add_part(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_le_bytes());
    mac.update(part);
}

fn truncate(mac: Hmac<Sha256>) -> RequestDigest {
    RequestDigest::truncate(&mac.finalize().into_bytes().into())
}
