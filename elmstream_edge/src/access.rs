//! Admits requests by their workspace's key and limit.

use std::{cell::Cell, fmt, rc::Rc};

use elmstream::{code::Code, time::MILLI};
use elmstream_http::LocalBody;
use elmstream_steer::{
    key::KeyDigest,
    model::Route,
    quota::QuotaDecision,
    workspaces::{Denial, PresentedKey, WorkspaceEntry},
};
use elmstreamd::clock;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, request};
use serde_json::json;

use crate::{
    callers::{self, UNREADY_RETRY_MS},
    edge::Edge,
    headers::{self, HeaderNames},
};

/// A request that counts against its workspace's limit.
///
/// Dropping it refunds the request unless a server may have run it.
pub struct AdmittedRequest {
    edge: Rc<Edge>,
    /// The workspace that the request counts against.
    pub entry: Rc<WorkspaceEntry>,
    /// Whether a server may have run the request.
    pub may_have_run: Cell<bool>,
}

impl fmt::Debug for AdmittedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AdmittedRequest").field(&self.entry.workspace.name).finish()
    }
}

impl AdmittedRequest {
    /// The request with its workspace as the configuration in force has it, if it has it.
    pub fn updated(mut self) -> AdmittedRequest {
        let current = self.edge.steer.borrow().workspaces().get(self.entry.id).cloned();
        if let Some(entry) = current {
            self.entry = entry;
        }
        self
    }

    /// Records that the request is sent to a server; it counts once more if an earlier server
    /// may have run it.
    pub fn record_sent(&self) {
        if self.may_have_run.replace(true) {
            self.edge.steer.borrow_mut().record_workspace_retry(clock::now(), &self.entry);
        }
    }

    /// Records that the server did not run the request; `had_run` says whether an earlier one
    /// may have.
    pub fn refund(&self, had_run: bool) {
        self.may_have_run.set(had_run);
        if had_run {
            self.edge.steer.borrow_mut().refund_workspace(clock::now(), &self.entry);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if !self.may_have_run.get() {
            self.edge.steer.borrow_mut().refund_workspace(clock::now(), &self.entry);
        }
    }
}

/// Admits a request by its key and its workspace's limit; `None` if its route needs no key.
///
/// # Errors
///
/// The response for the caller if the key is refused, the workspace is over its limit, or the
/// host does not know enough to decide.
pub fn authorize(
    edge: &Rc<Edge>,
    head: &request::Parts,
    route: &Route,
) -> Result<Option<AdmittedRequest>, Box<Response<LocalBody>>> {
    let now = clock::now();
    let presented_key = presented_key(&edge.settings.headers, &head.headers);
    let authenticated = edge.steer.borrow().authenticate(now, route, presented_key);
    let entry = match authenticated {
        Ok(Some(entry)) => entry,
        Ok(None) => return Ok(None),
        Err(denial) => return Err(Box::new(denied(edge, head, route, denial))),
    };
    let decision = edge.steer.borrow_mut().admit(now, &entry);
    match decision {
        QuotaDecision::Within => {
            let edge = Rc::clone(edge);
            Ok(Some(AdmittedRequest { edge, entry, may_have_run: Cell::new(false) }))
        }
        QuotaDecision::Over { retry_ms } => {
            let code = Code::WorkspaceLimit;
            Err(Box::new(throttled(edge, head, (route, &entry), code, retry_ms)))
        }
        QuotaDecision::Unready => {
            let code = Code::NotReady;
            Err(Box::new(throttled(edge, head, (route, &entry), code, UNREADY_RETRY_MS)))
        }
    }
}

/// The key that a request presents; a repeated or malformed header is ambiguous.
fn presented_key(names: &HeaderNames, headers: &HeaderMap) -> PresentedKey {
    let mut values = headers.get_all(&names.key).iter();
    match (values.next(), values.next()) {
        (None, _) => PresentedKey::Absent,
        (Some(value), None) => {
            key_digest(names, value).map_or(PresentedKey::Ambiguous, PresentedKey::Key)
        }
        (Some(_), Some(_)) => PresentedKey::Ambiguous,
    }
}

/// Digest of the key in a header value; `None` if the value is not exactly one key of the
/// scheme.
fn key_digest(names: &HeaderNames, value: &HeaderValue) -> Option<KeyDigest> {
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    let key = key.trim();
    let is_single = !key.is_empty() && !key.contains([' ', '\t', ',']);
    (is_single && scheme.eq_ignore_ascii_case(&names.key_scheme))
        .then(|| KeyDigest::of(key.as_bytes()))
}

fn denied(
    edge: &Edge,
    head: &request::Parts,
    route: &Route,
    denial: Denial,
) -> Response<LocalBody> {
    let code = match denial {
        Denial::Missing => Code::KeyMissing,
        Denial::Unknown => Code::KeyUnknown,
        Denial::Ambiguous => Code::KeyUnclear,
        Denial::Stale => Code::KeysStale,
    };
    metrics::counter!("elmstream_requests", "outcome" => "denied").increment(1);
    let steer = edge.steer.borrow();
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let fields = json!({
        "id": id, "route": route.name, "code": code.number(), "status": code.http_status(),
        "version": steer.configuration_version(), "stale_ms": steer.staleness(clock::now()) / MILLI,
    });
    edge.event_log.request("denied", fields);
    if denial == Denial::Stale {
        return callers::retry_later(code, UNREADY_RETRY_MS);
    }
    let mut response = callers::reply(code, StatusCode::UNAUTHORIZED);
    if let Ok(scheme) = HeaderValue::from_str(&edge.settings.headers.key_scheme) {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

fn throttled(
    edge: &Edge,
    head: &request::Parts,
    (route, entry): (&Route, &WorkspaceEntry),
    code: Code,
    retry_ms: u64,
) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "limited").increment(1);
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let fields = json!({
        "id": id, "route": route.name, "workspace": entry.workspace.name,
        "code": code.number(), "status": code.http_status(), "retry_ms": retry_ms,
        "rate_per_s": entry.workspace.rate_per_s, "burst": entry.workspace.burst,
        "version": edge.steer.borrow().configuration_version(),
    });
    edge.event_log.request("limited", fields);
    callers::retry_later(code, retry_ms)
}
