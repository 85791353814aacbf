//! Configurable header names, and the removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, header};
use serde::{Deserialize, Deserializer, de::Error};

/// Parses a header name of the settings.
fn parse_name<'de, D: Deserializer<'de>>(from: D) -> Result<HeaderName, D::Error> {
    let text = String::deserialize(from)?;
    HeaderName::from_bytes(text.as_bytes()).map_err(D::Error::custom)
}

/// Names of headers; each site may configure its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeaderNames {
    /// Id of a request; backend servers return it in their response.
    #[serde(deserialize_with = "parse_name")]
    pub request_id: HeaderName,
    /// Affinity key: requests with equal keys go to the same server if possible.
    #[serde(deserialize_with = "parse_name")]
    pub affinity: HeaderName,
    /// Timeout of the caller, in milliseconds.
    #[serde(deserialize_with = "parse_name")]
    pub deadline: HeaderName,
    /// Id of the backend server that the request is sent to.
    #[serde(deserialize_with = "parse_name")]
    pub server: HeaderName,
    /// Present in a response of a backend server that did not run the request.
    #[serde(deserialize_with = "parse_name")]
    pub not_run: HeaderName,
    /// Running requests, waiting requests and slots of a backend server, and the time that work takes
    /// there now in percent of the usual time.
    #[serde(deserialize_with = "parse_name")]
    pub load: HeaderName,
    /// Requests a second that an overloaded backend server accepts from all hosts together.
    #[serde(deserialize_with = "parse_name")]
    pub server_limit: HeaderName,
    /// Present in each response of a backend server that is about to leave.
    #[serde(deserialize_with = "parse_name")]
    pub server_leaving: HeaderName,
    /// Present in each successful response of a backend server.
    #[serde(deserialize_with = "parse_name")]
    pub signature: HeaderName,
    /// Header in which callers present their workspace's key; removed before the request is
    /// forwarded.
    #[serde(deserialize_with = "parse_name")]
    pub key: HeaderName,
    /// Authentication scheme that precedes the key.
    pub key_scheme: String,
    /// Header in which backend servers receive the workspace's name; a value sent by the
    /// caller is dropped.
    #[serde(deserialize_with = "parse_name")]
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

/// Header of the numbered result code, in responses that the host itself makes.
pub const CODE: HeaderName = HeaderName::from_static("elmstream-code");

/// Headers that apply to one connection only, or are set again for each.
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
/// Hop-by-hop too, but `http` has no constant for it.
const KEEP_ALIVE: &str = "keep-alive";

/// Removes hop-by-hop headers, and those that the `Connection` header lists.
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in listed.iter().chain(&CONNECTION) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Value of a header; `None` if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as a number; `None` if it is absent or not a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
