//! The digest of what makes two requests the same.

use elmstream_steer::digest::RequestDigest;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::callers::Call;

/// The digest of a request: host, method, path with query, caller and body.
///
/// Nothing counts that changes with each try. A request of a workspace is the
/// workspace's, whose addresses may change; any other one is its address's. Nobody can
/// tell from a line what was asked, even by guessing, without the fleet's secret.
pub fn digest(secret: &str, call: &Call) -> RequestDigest {
    // A key of any length will do, so this cannot fail.
    let Ok(mut whole) = Hmac::<Sha256>::new_from_slice(secret.as_bytes()) else {
        return RequestDigest::default();
    };
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = match call.workspace_name() {
        "" => call.caller.to_string(),
        name => format!("={name}"),
    };
    let parts = [
        call.route.host.as_bytes(),
        call.method.as_str().as_bytes(),
        path.as_bytes(),
        caller.as_bytes(),
    ];
    for part in parts {
        whole.update(&(part.len() as u64).to_le_bytes());
        whole.update(part);
    }
    whole.update(&call.body);
    RequestDigest::cut(&whole.finalize().into_bytes().into())
}
