//! Lets requests in by their workspace's key and limit.

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

/// The workspace of a request that counts against its limit; given back when this is
/// dropped unless a server may have run the request.
pub struct AdmittedRequest {
    edge: Rc<Edge>,
    /// The workspace.
    pub entry: Rc<WorkspaceEntry>,
    /// Whether a server may have run it.
    pub may_have_run: Cell<bool>,
}

impl fmt::Debug for AdmittedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AdmittedRequest").field(&self.entry.workspace.name).finish()
    }
}

impl AdmittedRequest {
    /// The request is sent to a server; it counts once more if an earlier one may have
    /// run it.
    pub fn record_sent(&self) {
        if self.may_have_run.replace(true) {
            self.edge.steer.borrow_mut().record_workspace_retry(clock::now(), &self.entry);
        }
    }

    /// The server did not run it; `had_run` says whether an earlier one may have.
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

/// The workspace of a request that is let in; none if its route asks for no key.
///
/// # Errors
///
/// The answer to a request that is not let in.
pub fn authorize(
    edge: &Rc<Edge>,
    head: &request::Parts,
    route: &Route,
) -> Result<Option<AdmittedRequest>, Box<Response<LocalBody>>> {
    let now = clock::now();
    let shown = shown(&edge.settings.headers, &head.headers);
    let let_in = edge.steer.borrow().authenticate(now, route, shown);
    let member = match let_in {
        Ok(Some(member)) => member,
        Ok(None) => return Ok(None),
        Err(denial) => return Err(Box::new(denied(edge, head, route, denial))),
    };
    let ruling = edge.steer.borrow_mut().admit(now, &member);
    match ruling {
        QuotaDecision::Within => {
            let edge = Rc::clone(edge);
            Ok(Some(AdmittedRequest { edge, entry: member, may_have_run: Cell::new(false) }))
        }
        QuotaDecision::Over { retry_ms } => {
            let code = Code::WorkspaceLimit;
            Err(Box::new(held_back(edge, head, (route, &member), code, retry_ms)))
        }
        QuotaDecision::Unready => {
            let code = Code::NotReady;
            Err(Box::new(held_back(edge, head, (route, &member), code, UNREADY_RETRY_MS)))
        }
    }
}

/// What a request shows of a key.
fn shown(names: &HeaderNames, headers: &HeaderMap) -> PresentedKey {
    let mut values = headers.get_all(&names.key).iter();
    match (values.next(), values.next()) {
        (None, _) => PresentedKey::Absent,
        (Some(value), None) => key(names, value).map_or(PresentedKey::Ambiguous, PresentedKey::Key),
        (Some(_), Some(_)) => PresentedKey::Ambiguous,
    }
}

/// Digest of the key in a header's value; none if that is not one key of the scheme.
fn key(names: &HeaderNames, value: &HeaderValue) -> Option<KeyDigest> {
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    let key = key.trim();
    let one = !key.is_empty() && !key.contains([' ', '\t', ',']);
    (one && scheme.eq_ignore_ascii_case(&names.key_scheme)).then(|| KeyDigest::of(key.as_bytes()))
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
        return callers::refuse(code, UNREADY_RETRY_MS);
    }
    let mut response = callers::plain(code, StatusCode::UNAUTHORIZED);
    if let Ok(scheme) = HeaderValue::from_str(&edge.settings.headers.key_scheme) {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

fn held_back(
    edge: &Edge,
    head: &request::Parts,
    (route, member): (&Route, &WorkspaceEntry),
    code: Code,
    retry_ms: u64,
) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "limited").increment(1);
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let fields = json!({
        "id": id, "route": route.name, "workspace": member.workspace.name,
        "code": code.number(), "status": code.http_status(), "retry_ms": retry_ms,
        "rate_per_s": member.workspace.rate_per_s, "burst": member.workspace.burst,
        "version": edge.steer.borrow().configuration_version(),
    });
    edge.event_log.request("limited", fields);
    callers::refuse(code, retry_ms)
}
