//! Printing of replies, as text or JSON.

use elmstream_proto::operators::{AuditEntry, StatusReply};
use serde_json::{Value, json};

/// Prints the status as text.
pub fn status(status: &StatusReply) {
    let isolated = if status.isolated { ", MAY BE BEHIND" } else { "" };
    println!("{}: revision {}{isolated}", status.host, status.revision);
    let settled = if status.settled { "settled" } else { "moving" };
    println!("allotment: epoch {} {settled}, lease runs {} ms", status.epoch, status.lease_ms);
    println!("\nentry hosts");
    for h in &status.hosts {
        let state = match (h.live, h.leaving) {
            (false, _) => "silent",
            (true, true) => "leaving",
            (true, false) => "live",
        };
        println!(
            "  {:<20} {:<16} {:<16} {state:<8} revision {} weight {}",
            h.name, h.region, h.failure_domain, h.revision, h.weight
        );
    }
    println!("\nservices");
    for s in &status.services {
        let free = s.slots.saturating_sub(s.in_flight);
        println!(
            "  {:<24} {:<16} slots {:<5} in flight {:<5} queued {:<5} headroom {free}",
            s.service, s.region, s.slots, s.in_flight, s.queued
        );
    }
    println!("\nowners in this region");
    for o in &status.ownership {
        let draining = if o.draining { "draining" } else { "" };
        println!("  {:<24} {} {draining}", o.backend_server, o.owner);
    }
    if let Some(control) = status.control {
        let seconds = control.uptime_us.max(1) as f64 / 1e6;
        println!(
            "\nprocess: {:.2}% of a core, {:.1} MB, {:.0} bytes/s between hosts",
            control.processor_us as f64 / seconds / 1e4,
            control.resident_bytes as f64 / 1e6,
            control.peer_bytes as f64 / seconds
        );
    }
}

/// Returns the status as a JSON object.
pub fn status_json(status: &StatusReply) -> Value {
    let hosts = status.hosts.iter().map(|h| {
        json!({"name": h.name, "region": h.region, "failure_domain": h.failure_domain,
               "live": h.live, "leaving": h.leaving, "revision": h.revision, "weight": h.weight})
    });
    let services = status.services.iter().map(|s| {
        json!({"service": s.service, "region": s.region, "slots": s.slots,
               "in_flight": s.in_flight, "queued": s.queued})
    });
    let owners = status.ownership.iter().map(
        |o| json!({"backend_server": o.backend_server, "owner": o.owner, "draining": o.draining}),
    );
    let control = status.control.unwrap_or_default();
    json!({
        "host": status.host, "revision": status.revision, "isolated": status.isolated,
        "epoch": status.epoch, "settled": status.settled, "lease_ms": status.lease_ms,
        "hosts": hosts.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "owners": owners.collect::<Vec<_>>(),
        "control": {"processor_us": control.processor_us, "uptime_us": control.uptime_us,
                    "resident_bytes": control.resident_bytes, "peer_bytes": control.peer_bytes},
    })
}

/// Prints an entry of the audit trail and the edits of its change.
pub fn audit_entry(entry: &AuditEntry) {
    let result = if entry.code == 0 { "accepted".into() } else { format!("E{}", entry.code) };
    println!("{} revision {} by {}: {result}", entry.unix_ms, entry.revision, entry.operator);
    for line in &entry.difference {
        println!("  {line}");
    }
}
