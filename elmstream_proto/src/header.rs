//! Names of the HTTP headers that elmstream reads and writes.

/// Request: name of the service.
pub const SERVICE: &str = "elmstream-service";
/// Response: whether the request was run: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "elmstream-outcome";
/// Response: number of the result code, on answers that elmstream itself creates.
pub const CODE: &str = "elmstream-code";
/// Response: id of the request, for `elmctl explain`.
pub const REQUEST: &str = "elmstream-request";
/// Request: the caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "elmstream-timeout-ms";
/// Request to a backend server: time after which it must not begin, in
/// milliseconds since the Unix epoch.
pub const BEGIN_BY: &str = "elmstream-begin-by";
/// Request to a backend server: time after which the answer is useless and the
/// request must end, in milliseconds since the Unix epoch.
pub const DEADLINE: &str = "elmstream-deadline";
/// Request: the caller's ticket.
pub const TICKET: &str = "elmstream-ticket";
/// Request: the caller's own id of it, for services with claim rows.
pub const REQUEST_ID: &str = "elmstream-request-id";
/// Response of a backend server: it did not run the request.
pub const SHED: &str = "elmstream-shed";
/// Response: the entry host and the backend server that answered.
pub const SERVED_BY: &str = "elmstream-served-by";
