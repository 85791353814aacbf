//! Writes how far roll-outs have come, when it is this host's turn.

use std::{rc::Rc, time::Duration};

use elmstream_steer::{
    RolloutWrite, Steer,
    canary_analysis::{RejectionCause, route_hash},
    rollout::RolloutStage,
};
use elmstreamd::clock;
use serde_json::{Value, json};

use crate::{Edge, StoreSource};

/// Time between two looks at whether something is to be written.
const LOOK: Duration = Duration::from_millis(100);
/// Pause after a call that failed or came too late. A change without an answer may still be
/// made; the condition keeps it from being made after another one.
const PAUSE: Duration = Duration::from_millis(300);

/// Writes until the process ends.
pub(crate) async fn run<S: StoreSource>(edge: Rc<Edge>, source: Rc<S>) {
    loop {
        compio::time::sleep(LOOK).await;
        let due = edge.steer.borrow_mut().due_rollout_write(clock::now(), clock::unix_ms());
        if let Some(write) = due
            && !carry_out(&edge, &*source, &write).await
        {
            compio::time::sleep(PAUSE).await;
        }
    }
}

/// Writes once; whether the store took it.
async fn carry_out<S: StoreSource>(edge: &Rc<Edge>, source: &S, write: &RolloutWrite) -> bool {
    let (service, stage) = (write.service.as_str(), stage_text(write.progress.stage));
    match source.write_rollout(write).await {
        Ok(Some(version)) => {
            metrics::counter!("elmstream_rollout_writes", "stage" => write.progress.stage.name())
                .increment(1);
            edge.event_log.write("rollout_written", fields(edge, write));
            let changes = edge.steer.borrow_mut().on_rollout_written(clock::now(), write, version);
            edge.log_changes("itself", &changes);
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

/// What a write says, and what it rests on.
fn fields(edge: &Edge, write: &RolloutWrite) -> Value {
    let steer = edge.steer.borrow();
    let answers = steer.rollout_analysis(&write.service).map(|judge| judge.target_counts());
    json!({
        "service": write.service, "target": write.progress.target,
        "stage": stage_text(write.progress.stage), "order": write.progress.order.to_string(),
        "good": answers.map(|marks| marks.good), "bad": answers.map(|marks| marks.bad),
        "cause": write.cause.as_ref().map(|known| cause(&steer, known)),
    })
}

/// Why a version is turned away.
fn cause(steer: &Steer, cause: &RejectionCause) -> Value {
    let configuration = steer.view().configuration().into_iter();
    let mut routes = configuration.flat_map(|configuration| &configuration.routes);
    let route = cause.route.map(|hash| routes.find(|route| route_hash(&route.name) == hash));
    json!({
        "route": route.map(|route| route.map_or("", |route| route.name.as_str())), "good": cause.target.good, "bad": cause.target.bad,
        "servers": cause.servers, "usual": cause.usual_bad_share,
    })
}

/// A stage in lines.
pub(crate) fn stage_text(stage: RolloutStage) -> String {
    match stage {
        RolloutStage::Shift(percent) => format!("shift {percent}%"),
        stage => stage.name().to_owned(),
    }
}
