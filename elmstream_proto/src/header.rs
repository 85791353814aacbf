//! Names of the HTTP headers that elmstream reads and writes.

/// Names the service of a request.
pub const SERVICE: &str = "elmstream-service";
/// Says whether the request was run: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "elmstream-outcome";
/// The number of the result code, on answers that elmstream makes itself.
pub const CODE: &str = "elmstream-code";
/// Names the request, for `elmctl explain`.
pub const REQUEST: &str = "elmstream-request";
/// Time that the caller gives, in milliseconds.
pub const TIMEOUT: &str = "elmstream-timeout-ms";
/// Towards backend servers: the time after which the request must not begin, in
/// milliseconds since the Unix epoch.
pub const BEGIN_BY: &str = "elmstream-begin-by";
/// Towards backend servers: the time after which the answer is of no use and
/// the request must end, in milliseconds since the Unix epoch.
pub const DEADLINE: &str = "elmstream-deadline";
/// The caller's ticket.
pub const TICKET: &str = "elmstream-ticket";
/// The caller's own id of a request, for services with claim rows.
pub const REQUEST_ID: &str = "elmstream-request-id";
/// From a backend server: it did not run the request.
pub const SHED: &str = "elmstream-shed";
/// The entry host and the backend server that answered.
pub const SERVED_BY: &str = "elmstream-served-by";
