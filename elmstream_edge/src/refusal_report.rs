//! Reports services whose servers refuse requests with free slots.

use elmstreamd::clock;
use serde_json::json;

use crate::edge::Edge;

/// Updates the rates of refusals, writes them to the metrics, and logs services that begin or cease
/// to refuse.
pub fn update(edge: &Edge) {
    let now = clock::now();
    for change in edge.steer.borrow_mut().update_refusal_rates(now) {
        let percent = (change.rate * 100.0).round();
        let fields =
            json!({"service": change.service, "percent": percent, "refuses": change.refuses});
        edge.event_log.state_change("random_refusals", fields);
    }
    for (service, rate) in edge.steer.borrow().refusal_rates(now) {
        metrics::gauge!("elmstream_random_refusals", "service" => service.to_owned()).set(rate);
    }
}
