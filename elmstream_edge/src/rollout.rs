//! Writes the progress of roll-outs to the store, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream_steer::{
    RolloutWrite, Steer,
    canary_analysis::{RejectionCause, route_hash},
    view::Table,
};
use elmstreamd::clock;
use serde_json::{Value, json};

use crate::{Edge, StoreSource, store_reader};

/// Interval of the check for whether progress is to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a call that failed or lost against another write. A change that got no
/// response may still be applied; its condition prevents that after another change.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Writes progress until the process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let due = edge.steer.borrow_mut().due_rollout_write(clock::now(), clock::unix_ms());
        if let Some(write) = due
            && !write_progress(&edge, &*source, &write).await
        {
            compio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Writes once; returns whether the store accepted the write.
async fn write_progress<S: StoreSource>(edge: &Rc<Edge>, source: &S, write: &RolloutWrite) -> bool {
    let (service, stage) = (write.service.as_str(), write.progress.stage.text());
    match source.write_rollout(write).await {
        Ok(Some(version)) => {
            metrics::counter!("elmstream_rollout_writes", "stage" => write.progress.stage.name())
                .increment(1);
            edge.event_log.write("rollout_written", fields(edge, write));
            let changes = edge.steer.borrow_mut().on_rollout_written(clock::now(), write, version);
            edge.log_changes("itself", &changes);
            if let Err(error) = store_reader::read_all(edge, source, Table::Rollouts).await {
                let fields = json!({"service": service, "error": error.to_string()});
                edge.event_log.write("rollout_read_failed", fields);
            }
            true
        }
        Ok(None) => {
            let fields = json!({"service": service, "stage": stage});
            edge.event_log.write("rollout_overtaken", fields);
            false
        }
        Err(error) => {
            let fields = json!({"service": service, "stage": stage, "error": error.to_string()});
            edge.event_log.write("rollout_write_failed", fields);
            false
        }
    }
}

/// Fields of the event of a write: what was written and the counts behind it.
fn fields(edge: &Edge, write: &RolloutWrite) -> Value {
    let steer = edge.steer.borrow();
    let target_counts =
        steer.rollout_analysis(&write.service).map(|analysis| analysis.target_counts());
    json!({
        "service": write.service, "target": write.progress.target,
        "stage": write.progress.stage.text(), "order": write.progress.order.to_string(),
        "good": target_counts.map(|counts| counts.good),
        "bad": target_counts.map(|counts| counts.bad),
        "cause": write.cause.as_ref().map(|rejection| cause(&steer, rejection)),
    })
}

/// Fields that say why a version was rejected.
fn cause(steer: &Steer, cause: &RejectionCause) -> Value {
    let configuration = steer.view().configuration().into_iter();
    let mut routes = configuration.flat_map(|configuration| &configuration.routes);
    let route = cause.route.map(|hash| routes.find(|route| route_hash(&route.name) == hash));
    json!({
        "route": route.map(|route| route.map_or("", |route| route.name.as_str())), "good": cause.target.good, "bad": cause.target.bad,
        "servers": cause.servers, "usual": cause.usual_bad_share,
    })
}
