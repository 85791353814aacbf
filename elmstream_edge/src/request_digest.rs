//! Digests of what makes two requests the same.

use elmstream_steer::digest::RequestDigest;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::callers::CallerRequest;

/// Digests of a request: of its content, and of its content and caller.
///
/// Both count. One that ends servers whoever sends it comes from several addresses, and a
/// caller's address may change. One that does so from a single caller, whose session say
/// is broken, must not be cleared by the answers that others get to the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDigests {
    /// Of host, method, path with query, and body.
    pub any_caller: RequestDigest,
    /// The same with the caller: its workspace, else its address.
    pub this_caller: RequestDigest,
}

impl RequestDigests {
    /// Digests of a request.
    ///
    /// Nothing counts that changes with each try. Nobody can tell from a line what was
    /// asked, even by guessing, without the fleet's secret.
    pub fn of(secret: &str, call: &CallerRequest) -> RequestDigests {
        // A key of any length will do, so this cannot fail.
        let Ok(mut whole) = Hmac::<Sha256>::new_from_slice(secret.as_bytes()) else {
            return RequestDigests::default();
        };
        let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
        for part in [&call.route.host, call.method.as_str(), path] {
            add(&mut whole, part.as_bytes());
        }
        add(&mut whole, &call.body);
        let any = cut(whole.clone());
        let caller = match call.workspace_name() {
            "" => call.caller.to_string(),
            name => format!("={name}"),
        };
        add(&mut whole, caller.as_bytes());
        RequestDigests { any_caller: any, this_caller: cut(whole) }
    }

    /// Both, the one that more requests share first.
    pub fn both(&self) -> [RequestDigest; 2] {
        [self.any_caller, self.this_caller]
    }
}

/// Adds a part and its length, so that parts cannot run into each other.
fn add(whole: &mut Hmac<Sha256>, part: &[u8]) {
    whole.update(&(part.len() as u64).to_le_bytes());
    whole.update(part);
}

fn cut(whole: Hmac<Sha256>) -> RequestDigest {
    RequestDigest::truncate(&whole.finalize().into_bytes().into())
}
