//! Keeps requests under which servers end from further servers, and their list in the
//! store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream::{
    code::Code,
    time::{MILLI, SECOND, Time},
};
use elmstream_http::LocalBody;
use elmstream_steer::{
    digest::RequestDigest,
    poison::{PendingListing, PoisonChange, PoisonEvidence, ServerCrash, listing_expired},
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

/// Time between two looks at whether the list is to be read or changed.
const LOOK: Duration = Duration::from_millis(100);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_secs(1);
/// For how long after the store's return a host that comes to keep the lists looks at this
/// one: the first keeper may end before it has.
const RETURN_KEPT: u64 = 60 * SECOND;

/// By which digest a request is refused, and why; none if it is not.
pub(crate) fn known(edge: &Edge, call: &CallerRequest) -> Option<(RequestDigest, PoisonEvidence)> {
    let steer = edge.steer.borrow();
    if steer.poison().is_empty() {
        return None;
    }
    let digests = call.digests(edge).both().into_iter();
    digests.filter_map(|digest| Some((digest, steer.poison().refusal(&digest)?))).next()
}

/// Generations of endings that are known of a request, by its digests.
pub(crate) fn generations(edge: &Edge, call: &CallerRequest) -> [u8; 2] {
    let steer = edge.steer.borrow();
    match steer.poison().is_empty() {
        true => [0; 2],
        false => call.digests(edge).both().map(|digest| steer.poison().generation(&digest)),
    }
}

/// Refuses a request.
///
/// It has not run and will not, and its caller is not asked back. The status is none that
/// blames the caller, as a request that was beside a harmful one three times is refused
/// as well.
pub(crate) fn refuse(
    edge: &Edge,
    call: &CallerRequest,
    (digest, harm): &(RequestDigest, PoisonEvidence),
) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "harmful").increment(1);
    let code = Code::Harmful;
    let fields = json!({
        "id": call.id, "code": code.number(), "status": code.http_status(),
        "content": digest.hex(), "route": call.route.name, "service": call.service,
        "workspace": call.workspace_name(), "took_ms": clock::now().since(call.received) / MILLI,
        "servers_ended": harm.servers, "generations": harm.generations, "own": harm.observed_here,
        "last_s_ago": unix_s().saturating_sub(harm.last_s),
        "version": edge.steer.borrow().configuration_version(),
        "stale_ms": edge.steer.borrow().staleness(clock::now()) / MILLI,
    });
    edge.event_log.request("harmful", fields);
    callers::plain(code, StatusCode::SERVICE_UNAVAILABLE)
}

/// A request got a whole answer.
pub(crate) fn answered(edge: &Edge, call: &CallerRequest) {
    let mut steer = edge.steer.borrow_mut();
    if !steer.poison().is_empty() {
        for digest in call.digests(edge).both() {
            steer.poison_mut().record_answer(clock::now(), &digest);
        }
    }
}

/// A server whose connection broke under a request.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedServer {
    /// Its id.
    pub id: String,
    /// Where it took requests.
    pub address: SocketAddr,
    /// What tells its start from others.
    pub start: u64,
}

/// Whether a server ended under a request, which was sent when so many `generations` of
/// endings were known.
///
/// What is found out counts also if the caller leaves meanwhile.
pub(crate) async fn ended(
    edge: &Rc<Edge>,
    call: &CallerRequest,
    server: SuspectedServer,
    generations: [u8; 2],
) -> bool {
    let (found, finding) = oneshot::channel();
    let (edge, contents) = (edge.clone(), *call.digests(edge));
    compio::runtime::spawn(async move {
        let known = edge.steer.borrow().poison().knows_crash(server.start);
        let ended = known || edge.pool.refuses(server.address).await;
        if ended {
            count(&edge, &server, &contents, generations);
        }
        // Nobody waits any more if the caller has left.
        let _ = found.send(ended);
    })
    .detach();
    // The sender is dropped only with the runtime.
    finding.await.unwrap_or(false)
}

fn count(edge: &Edge, server: &SuspectedServer, contents: &RequestDigests, generations: [u8; 2]) {
    metrics::counter!("elmstream_servers_ended").increment(1);
    let now = clock::now();
    let fields = json!({
        "server": server.id, "content": contents.any_caller.hex(),
        "generation": generations[0].saturating_add(1),
    });
    edge.event_log.state_change("server_ended", fields);
    for (digest, known) in contents.both().into_iter().zip(generations) {
        let turn =
            edge.steer.borrow_mut().on_server_crash(now, unix_s(), digest, server.start, known);
        if let PoisonChange::Refused(harm) = turn {
            note(edge, "itself", &[(digest, harm)]);
        }
    }
}

/// Writes down which requests are refused from now on, and who told.
pub(crate) fn note(edge: &Edge, from: &str, refused: &[(RequestDigest, PoisonEvidence)]) {
    for (digest, harm) in refused {
        edge.event_log.write("refuses", told(digest, harm, from));
    }
}

fn told(digest: &RequestDigest, harm: &PoisonEvidence, from: &str) -> Value {
    json!({
        "content": digest.hex(), "servers_ended": harm.servers, "generations": harm.generations,
        "own": harm.observed_here, "from": from,
    })
}

/// Reads the list at the start and when the settings are read again, and adds to it,
/// until the process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    let mut started = false;
    let mut returns = Returns::default();
    loop {
        if returns.due(&edge) {
            match list_again(&edge, &*source).await {
                Ok(()) => returns.done(&edge),
                Err(error) => failed(&edge, &error).await,
            }
        }
        let again = edge.reread_refused.replace(false);
        if let Err(error) = keep(&edge, &*source, again || !started).await {
            edge.reread_refused.set(again);
            failed(&edge, &error).await;
            continue;
        }
        started = true;
        compio::time::sleep(LOOK).await;
        let mut steer = edge.steer.borrow_mut();
        steer.poison_mut().expire(clock::now(), unix_s());
        metrics::gauge!("elmstream_requests_refused").set(steer.poison().refused_count() as f64);
    }
}

async fn keep<S: StoreSource>(edge: &Edge, source: &S, read: bool) -> Result<(), SourceError> {
    if read {
        let harmful = source.refused_requests().await?;
        edge.unreadable("harmful", &harmful.unreadable);
        take_in(edge, &harmful);
        // Nobody else clears the list.
        for (digest, _) in
            harmful.listed.iter().filter(|(_, endings)| listing_expired(endings, unix_s()))
        {
            source.add_refused_request(digest, &[]).await?;
        }
    }
    let due = edge.steer.borrow().poison().pending_listings(clock::now());
    if due.iter().any(|due| !due.decided_here) {
        let harmful = source.refused_requests().await?;
        for (digest, _) in &harmful.listed {
            edge.steer.borrow_mut().poison_mut().mark_listed(digest);
        }
    }
    // What was let in again, or found to be listed, meanwhile is not due any more.
    let due = edge.steer.borrow().poison().pending_listings(clock::now());
    for PendingListing { digest, crashes: endings, .. } in due {
        source.add_refused_request(&digest, &endings).await?;
        edge.steer.borrow_mut().poison_mut().mark_listed(&digest);
    }
    Ok(())
}

async fn failed(edge: &Edge, error: &SourceError) {
    edge.event_log.write("harmful_failed", json!({"error": error.to_string()}));
    compio::time::sleep(PAUSE).await;
}

/// Returns of the store from a copy, after which the list is looked at by the host that
/// keeps what this fleet writes.
#[derive(Debug, Default)]
struct Returns {
    /// Era of the store in which nothing is left to be looked at; 0 if none is known.
    era: u64,
    /// When a later one was noticed.
    noticed: Option<Time>,
}

impl Returns {
    fn due(&mut self, edge: &Edge) -> bool {
        let (steer, now) = (edge.steer.borrow(), clock::now());
        let known = steer.era();
        if self.era == 0 || self.era == known {
            self.era = known;
            return false;
        }
        let noticed = *self.noticed.get_or_insert(now);
        if now.since(noticed) >= RETURN_KEPT {
            (self.era, self.noticed) = (known, None);
            return false;
        }
        steer.maintains_host_list(now)
    }

    fn done(&mut self, edge: &Edge) {
        (self.era, self.noticed) = (edge.steer.borrow().era(), None);
    }
}

/// Lists again what the store has lost, and takes off what was let in again: nobody else
/// writes that, and hosts that start go by it.
async fn list_again<S: StoreSource>(edge: &Edge, source: &S) -> Result<(), SourceError> {
    let harmful = source.refused_requests().await?;
    let lost = |(digest, _): &(RequestDigest, Vec<ServerCrash>)| {
        !harmful.listed.iter().any(|(listed, _)| listed == digest)
    };
    let refused = edge.steer.borrow().poison().refused_requests();
    for (digest, endings) in refused.into_iter().filter(lost) {
        source.add_refused_request(&digest, &endings).await?;
        edge.event_log.write("listed_again", json!({"content": digest.hex()}));
    }
    for (digest, _) in harmful.listed.iter().filter(|(_, endings)| !endings.is_empty()) {
        if edge.steer.borrow().poison().is_cleared(digest) {
            source.add_refused_request(digest, &[]).await?;
            edge.event_log.write("let_in_again", json!({"content": digest.hex()}));
        }
    }
    Ok(())
}

/// Takes in what the store lists. A request that is listed without ends of servers is let
/// in again: a row that is not there may only not have been written yet.
fn take_in(edge: &Edge, harmful: &RefusedList) {
    let now = clock::now();
    for (digest, endings) in &harmful.listed {
        let refused = edge.steer.borrow_mut().merge_crashes(now, endings);
        note(edge, "store", &refused);
        let mut steer = edge.steer.borrow_mut();
        steer.poison_mut().mark_listed(digest);
        if endings.is_empty() && steer.poison_mut().readmit(now, digest) {
            edge.event_log.write("let_in_again", json!({"content": digest.hex()}));
        }
    }
}

fn unix_s() -> u64 {
    clock::unix_ms() / 1_000
}
