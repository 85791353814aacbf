//! Refuses requests under which servers crash, and maintains their list in the store.

use std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration};

use elmstream::{
    code::Code,
    time::{MILLI, SECOND, Time},
};
use elmstream_http::LocalBody;
use elmstream_steer::{
    digest::RequestDigest,
    poison::{PendingListing, PoisonChange, PoisonEvidence, ServerCrash, listing_expired},
    servers::ServerEntry,
};
use elmstreamd::clock;
use futures_channel::oneshot;
use http::{Response, StatusCode};
use serde_json::{Value, json};

use crate::{
    Edge, SourceError, StoreSource,
    callers::{self, CallerRequest},
    request_digest::RequestDigests,
    store_source::RefusedList,
};

/// Interval of the check for whether the list is to be read or changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Number of servers that are tried to find out whether a host's path to a failure domain is cut.
const PATH_CHECKS_MAX: usize = 2;
/// Time for which a connection to such a server has to stay open.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// For this long after a restore of the store, in microseconds, a host that starts to
/// maintain the lists checks this one: the previous maintainer may have stopped before it
/// did.
const RELIST_WINDOW: u64 = 60 * SECOND;

/// The digest by which a request is refused, and the evidence; `None` if it is not refused.
pub(crate) fn refusal(
    edge: &Edge,
    request: &CallerRequest,
) -> Option<(RequestDigest, PoisonEvidence)> {
    let steer = edge.steer.borrow();
    if steer.poison().is_empty() {
        return None;
    }
    let digests = request.digests(edge).both().into_iter();
    digests.filter_map(|digest| Some((digest, steer.poison().refusal(&digest)?))).next()
}

/// Generations of crashes that are known for each digest of a request.
pub(crate) fn crash_generations(edge: &Edge, request: &CallerRequest) -> [u8; 2] {
    let steer = edge.steer.borrow();
    match steer.poison().is_empty() {
        true => [0; 2],
        false => request.digests(edge).both().map(|digest| steer.poison().generation(&digest)),
    }
}

/// Refuses a request.
///
/// It has not run and will not run, so its caller is not asked to retry. The status does not
/// blame the caller, because a request that was in flight beside a poison request three times
/// is refused as well.
pub(crate) fn refuse(
    edge: &Edge,
    request: &CallerRequest,
    (digest, evidence): &(RequestDigest, PoisonEvidence),
) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "harmful").increment(1);
    let code = Code::Harmful;
    let fields = json!({
        "id": request.id, "code": code.number(), "status": code.http_status(),
        "content": digest.hex(), "route": request.route.name,
        "service": request.service,
        "workspace": request.workspace_name(),
        "took_ms": clock::now().since(request.received) / MILLI,
        "servers_ended": evidence.servers, "generations": evidence.generations, "own": evidence.observed_here,
        "last_s_ago": unix_s().saturating_sub(evidence.last_s),
        "version": edge.steer.borrow().configuration_version(),
        "stale_ms": edge.steer.borrow().staleness(clock::now()) / MILLI,
    });
    edge.event_log.request("harmful", fields);
    callers::reply(code, StatusCode::SERVICE_UNAVAILABLE)
}

/// Records that a request got a complete response.
pub(crate) fn record_response(edge: &Edge, request: &CallerRequest) {
    let mut steer = edge.steer.borrow_mut();
    if !steer.poison().is_empty() {
        for digest in request.digests(edge).both() {
            steer.poison_mut().record_answer(clock::now(), &digest);
        }
    }
}

/// A server whose connection broke during a request.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedServer {
    /// Id of the server.
    pub id: String,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Hash that tells this start of the server from others.
    pub start: u64,
}

/// Whether a server crashed under a request; `crash_generations` are those that were known
/// when the request was sent.
///
/// A crash is recorded even if the caller leaves meanwhile. A refused connection alone does not
/// prove it, as the path from this host may be cut: another server beside it has to be reachable.
pub(crate) async fn confirm_crash(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    server: SuspectedServer,
    crash_generations: [u8; 2],
) -> bool {
    let (result_sender, result_receiver) = oneshot::channel();
    let (edge, digests) = (edge.clone(), *request.digests(edge));
    let broken_at = clock::now();
    compio::runtime::spawn(async move {
        let is_known = edge.steer.borrow().poison().knows_crash(server.start);
        let refused = !is_known && edge.pool.refuses_connections(server.address).await;
        let crashed = is_known || (refused && reaches_others(&edge, &server, broken_at).await);
        if refused && !crashed {
            metrics::counter!("elmstream_crashes_unconfirmed").increment(1);
            edge.event_log.state_change("server_unreachable", json!({"server": server.id}));
        }
        if crashed {
            record_crash(&edge, &server, &digests, crash_generations);
        }
        // The receiver is gone if the caller has left.
        let _ = result_sender.send(crashed);
    })
    .detach();
    // The sender is only dropped with the runtime.
    result_receiver.await.unwrap_or(false)
}

/// Whether this host reaches another server of the same service and failure domain, or, if there is
/// none, another one of the domain or of the service. A server that answered after `broken_at` is
/// reachable; else connections are opened to find out.
async fn reaches_others(edge: &Edge, server: &SuspectedServer, broken_at: Time) -> bool {
    let others = others_beside(edge, server);
    if others.is_empty() || others.iter().any(|other| other.last_answered > Some(broken_at)) {
        return true;
    }
    for other in others.iter().take(PATH_CHECKS_MAX) {
        if edge.pool.open_idle(&other.id, other.address, SETTLE_TIME).await {
            return true;
        }
    }
    false
}

/// A server by which the path to another one is checked.
struct PathCheck {
    id: String,
    address: SocketAddr,
    last_answered: Option<Time>,
}

/// Other servers of a server's service and failure domain, or, if there are none, others of the
/// domain or of the service; those first that answered last.
fn others_beside(edge: &Edge, server: &SuspectedServer) -> Vec<PathCheck> {
    let steer = edge.steer.borrow();
    let find = |id: &str| steer.servers().find(id).and_then(|index| steer.servers().get(index));
    let Some(ended) = find(&server.id) else { return Vec::new() };
    let likeness = |entry: &ServerEntry| {
        usize::from(entry.server.domain == ended.server.domain)
            + usize::from(entry.server.service == ended.server.service)
    };
    let others = steer.servers().all().map(|(_, entry)| entry).filter(|entry| {
        let crashed = steer.poison().knows_crash(entry.start_hash());
        entry.id != server.id && !entry.is_leaving() && !crashed
    });
    let mut found: Vec<&ServerEntry> = others.collect();
    let best = found.iter().map(|entry| likeness(entry)).max().unwrap_or(0);
    found.retain(|entry| likeness(entry) == best);
    found.sort_unstable_by_key(|entry| Reverse(entry.last_answered));
    let found = found.into_iter().map(|entry| PathCheck {
        id: entry.id.clone(),
        address: entry.server.address,
        last_answered: entry.last_answered,
    });
    found.collect()
}

fn record_crash(
    edge: &Edge,
    server: &SuspectedServer,
    digests: &RequestDigests,
    crash_generations: [u8; 2],
) {
    metrics::counter!("elmstream_servers_ended").increment(1);
    let now = clock::now();
    let fields = json!({
        "server": server.id, "content": digests.any_caller.hex(),
        "generation": crash_generations[0].saturating_add(1),
    });
    edge.event_log.state_change("server_ended", fields);
    for (digest, generation) in digests.both().into_iter().zip(crash_generations) {
        let change = edge.steer.borrow_mut().on_server_crash(
            now,
            unix_s(),
            digest,
            server.start,
            generation,
        );
        if let PoisonChange::Refused(evidence) = change {
            log_refused(edge, "itself", &[(digest, evidence)]);
        }
    }
}

/// Logs which requests are refused from now on, and where that was learned.
pub(crate) fn log_refused(edge: &Edge, from: &str, refused: &[(RequestDigest, PoisonEvidence)]) {
    for (digest, evidence) in refused {
        edge.event_log.write("refuses", refusal_fields(digest, evidence, from));
    }
}

fn refusal_fields(digest: &RequestDigest, evidence: &PoisonEvidence, from: &str) -> Value {
    json!({
        "content": digest.hex(), "servers_ended": evidence.servers,
        "generations": evidence.generations, "own": evidence.observed_here, "from": from,
    })
}

/// Reads the list at the start and after a reload of the settings, and adds to it, until the
/// process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    let mut started = false;
    let mut restores = Restores::default();
    loop {
        if restores.due(&edge) {
            match relist(&edge, &*source).await {
                Ok(()) => restores.done(&edge),
                Err(error) => on_failure(&edge, &error).await,
            }
        }
        let reread = edge.reread_refused.replace(false);
        if let Err(error) = maintain_list(&edge, &*source, reread || !started).await {
            edge.reread_refused.set(reread);
            on_failure(&edge, &error).await;
            continue;
        }
        started = true;
        compio::time::sleep(CHECK_INTERVAL).await;
        let mut steer = edge.steer.borrow_mut();
        steer.poison_mut().expire(clock::now(), unix_s());
        metrics::gauge!("elmstream_requests_refused").set(steer.poison().refused_count() as f64);
    }
}

async fn maintain_list<S: StoreSource>(
    edge: &Edge,
    source: &S,
    read: bool,
) -> Result<(), SourceError> {
    if read {
        let refused_list = source.refused_requests().await?;
        edge.log_unreadable_rows("harmful", &refused_list.unreadable);
        merge_listed(edge, &refused_list);
        // No one else removes expired entries from the list.
        for (digest, _) in
            refused_list.listed.iter().filter(|(_, crashes)| listing_expired(crashes, unix_s()))
        {
            source.add_refused_request(digest, &[]).await?;
        }
    }
    let due = edge.steer.borrow().poison().pending_listings(clock::now());
    if due.iter().any(|due| !due.decided_here) {
        let refused_list = source.refused_requests().await?;
        for (digest, _) in &refused_list.listed {
            edge.steer.borrow_mut().poison_mut().mark_listed(digest);
        }
    }
    // Requests that were readmitted or found listed in the meantime are no longer pending.
    let due = edge.steer.borrow().poison().pending_listings(clock::now());
    for PendingListing { digest, crashes, .. } in due {
        source.add_refused_request(&digest, &crashes).await?;
        edge.steer.borrow_mut().poison_mut().mark_listed(&digest);
    }
    Ok(())
}

async fn on_failure(edge: &Edge, error: &SourceError) {
    edge.event_log.write("harmful_failed", json!({"error": error.to_string()}));
    compio::time::sleep(FAILURE_PAUSE).await;
}

/// Restores of the store from a backup, after which the host that maintains the fleet's lists
/// checks this list.
#[derive(Debug, Default)]
struct Restores {
    /// Era of the store for which the list needs no further check; 0 if none is known yet.
    era: u64,
    /// When a later era was noticed.
    noticed_at: Option<Time>,
}

impl Restores {
    fn due(&mut self, edge: &Edge) -> bool {
        let (steer, now) = (edge.steer.borrow(), clock::now());
        let era = steer.era();
        if self.era == 0 || self.era == era {
            self.era = era;
            return false;
        }
        let noticed_at = *self.noticed_at.get_or_insert(now);
        if now.since(noticed_at) >= RELIST_WINDOW {
            (self.era, self.noticed_at) = (era, None);
            return false;
        }
        steer.maintains_host_list(now)
    }

    fn done(&mut self, edge: &Edge) {
        (self.era, self.noticed_at) = (edge.steer.borrow().era(), None);
    }
}

/// Adds requests that the store has lost, and removes those that were readmitted: no one else
/// writes the list, and starting hosts rely on it.
async fn relist<S: StoreSource>(edge: &Edge, source: &S) -> Result<(), SourceError> {
    let refused_list = source.refused_requests().await?;
    let lost = |(digest, _): &(RequestDigest, Vec<ServerCrash>)| {
        !refused_list.listed.iter().any(|(listed, _)| listed == digest)
    };
    let refused = edge.steer.borrow().poison().refused_requests();
    for (digest, crashes) in refused.into_iter().filter(lost) {
        source.add_refused_request(&digest, &crashes).await?;
        edge.event_log.write("listed_again", json!({"content": digest.hex()}));
    }
    for (digest, _) in refused_list.listed.iter().filter(|(_, crashes)| !crashes.is_empty()) {
        if edge.steer.borrow().poison().is_cleared(digest) {
            source.add_refused_request(digest, &[]).await?;
            edge.event_log.write("let_in_again", json!({"content": digest.hex()}));
        }
    }
    Ok(())
}

/// Merges the store's list. A request that is listed without crashes is readmitted; a missing
/// row alone may only not have been written yet.
fn merge_listed(edge: &Edge, refused_list: &RefusedList) {
    let now = clock::now();
    for (digest, crashes) in &refused_list.listed {
        let refused = edge.steer.borrow_mut().merge_crashes(now, crashes);
        log_refused(edge, "store", &refused);
        let mut steer = edge.steer.borrow_mut();
        steer.poison_mut().mark_listed(digest);
        if crashes.is_empty() && steer.poison_mut().readmit(now, digest) {
            edge.event_log.write("let_in_again", json!({"content": digest.hex()}));
        }
    }
}

fn unix_s() -> u64 {
    clock::unix_ms() / 1_000
}
