//! Checks what memory hosts hold.

use std::fs;

use crate::{callers::Hosts, process::HOST_MEMORY_BYTES, world::World};

/// Records a violation if a host holds more memory than it may.
pub fn check(world: &World, hosts: &Hosts, n: usize) {
    let resident = hosts.borrow()[n].process_id().and_then(resident_bytes);
    // Without a figure the host has just ended.
    let Some(resident) = resident else { return };
    let mut ledger = world.ledger.borrow_mut();
    ledger.count("memory judged");
    if resident > HOST_MEMORY_BYTES || world.breaks("memory") {
        ledger.add_violation(format!(
            "host {n} holds {resident} bytes of memory, and may hold {HOST_MEMORY_BYTES}"
        ));
    }
}

/// Resident memory of a process.
fn resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
}
