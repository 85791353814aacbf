//! Helpers to build responses and read request bodies.

use elmstream_http::{LocalBody, RequestBody, body};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};

/// Returns a response with a JSON body.
///
/// Panics if `value` cannot be serialized.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<LocalBody> {
    let text = serde_json::to_vec(value).expect("answers can be serialized as JSON");
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(body::full(text)).expect("the headers are valid")
}

/// Returns a response without a body.
pub fn status(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Reads a JSON body; `None` if it is aborted or malformed.
pub async fn read_json<T: DeserializeOwned>(body: RequestBody) -> Option<T> {
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
