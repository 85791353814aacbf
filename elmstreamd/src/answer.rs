//! Responses that the daemon itself generates, as opposed to those of backend servers.

use elmstream::{
    code::{Code, Outcome},
    request_handling::Refusal,
    time::SECOND,
};
use elmstream_http::{LocalBody, body};
use elmstream_proto::header;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde::Serialize;

/// Builds the response to a refused request, with the default outcome of the refusal's code.
pub fn refusal(refusal: Refusal) -> Response<LocalBody> {
    refusal_with_outcome(refusal, refusal.code.outcome())
}

/// Builds the response to a refused request, with the given outcome in its outcome header.
///
/// The response carries `Retry-After` in whole seconds, at least 1, if waiting may help.
pub fn refusal_with_outcome(refusal: Refusal, outcome: Outcome) -> Response<LocalBody> {
    let code = refusal.code;
    let text = format!("E{} {}\n", code.number(), code.text());
    let mut response = Response::new(body::full(text));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    headers.insert(header::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if code.waiting_helps() {
        let seconds = refusal.retry_after.div_ceil(SECOND).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    metrics::counter!("elmstream_answers_total", "code" => code.number().to_string()).increment(1);
    response
}

/// Builds the response for a code whose cause does not go away by waiting.
pub fn for_code(code: Code) -> Response<LocalBody> {
    refusal(Refusal { code, retry_after: 0 })
}

/// Builds a response with status 200 and `value` as its JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<LocalBody> {
    let Ok(text) = serde_json::to_vec(value) else {
        return for_code(Code::BadRequest);
    };
    let mut response = Response::new(body::full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
