//! Names of the headers that callers and backend servers use, and which headers
//! concern one connection only.

use http::{HeaderMap, HeaderName, header};
use serde::{Deserialize, Deserializer, de::Error};

/// A header's name, as settings have it.
fn name<'de, D: Deserializer<'de>>(from: D) -> Result<HeaderName, D::Error> {
    let text = String::deserialize(from)?;
    HeaderName::from_bytes(text.as_bytes()).map_err(D::Error::custom)
}

/// Names of headers; a site may have its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeaderNames {
    /// Id of a request; backend servers send it back.
    #[serde(deserialize_with = "name")]
    pub request_id: HeaderName,
    /// What requests of one thing have in common.
    #[serde(deserialize_with = "name")]
    pub affinity: HeaderName,
    /// How long the caller waits, in milliseconds.
    #[serde(deserialize_with = "name")]
    pub deadline: HeaderName,
    /// Id of the backend server that the request is for.
    #[serde(deserialize_with = "name")]
    pub server: HeaderName,
    /// Present in an answer of a backend server that did not run the request.
    #[serde(deserialize_with = "name")]
    pub not_run: HeaderName,
    /// Requests running, waiting, and slots of a backend server.
    #[serde(deserialize_with = "name")]
    pub load: HeaderName,
    /// Requests a second that a backend server in need takes from all hosts together.
    #[serde(deserialize_with = "name")]
    pub server_limit: HeaderName,
    /// Present in each answer of a backend server that is about to leave.
    #[serde(deserialize_with = "name")]
    pub server_leaving: HeaderName,
    /// Present in each success of a backend server.
    #[serde(deserialize_with = "name")]
    pub signature: HeaderName,
    /// In which callers show their workspace's key; backend servers never see it.
    #[serde(deserialize_with = "name")]
    pub key: HeaderName,
    /// Word that stands before the key.
    pub key_scheme: String,
    /// In which backend servers are told the workspace's name; what callers send in it is
    /// dropped.
    #[serde(deserialize_with = "name")]
    pub workspace: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request_id: HeaderName::from_static("elmstream-request"),
            affinity: HeaderName::from_static("elmstream-affinity"),
            deadline: HeaderName::from_static("elmstream-deadline"),
            server: HeaderName::from_static("elmstream-server"),
            not_run: HeaderName::from_static("elmstream-not-run"),
            load: HeaderName::from_static("elmstream-load"),
            server_limit: HeaderName::from_static("elmstream-server-limit"),
            server_leaving: HeaderName::from_static("elmstream-server-leaving"),
            signature: HeaderName::from_static("elmstream-signature"),
            key: header::AUTHORIZATION,
            key_scheme: "Bearer".into(),
            workspace: HeaderName::from_static("elmstream-workspace"),
        }
    }
}

/// The numbered result code of an answer that the host made itself.
pub const CODE: HeaderName = HeaderName::from_static("elmstream-code");

/// Headers that concern one connection, or are set anew for it.
const CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// The same, but without a constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Takes out headers that concern one connection, those it names too.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// A header's text; none if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
