//! Background tasks of a soak: they record stalls of the soak itself, take backups of the
//! store and detect hosts that end by themselves.

use std::{rc::Rc, time::Duration};

use crate::{
    callers::Hosts,
    injection,
    world::{StoreMode, World},
};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two backups of the store.
const BACKUP_INTERVAL: Duration = Duration::from_millis(250);
/// Stalls longer than this are recorded, in milliseconds.
const MIN_STALL_MS: u64 = 10;

/// Records when the soak itself was delayed, because everything else then looks delayed to
/// it as well.
pub async fn record_stalls(world: Rc<World>) {
    loop {
        let before = world.now();
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = world.now();
        let stall_ms = (now - before).saturating_sub(CHECK_INTERVAL.as_millis() as u64);
        if stall_ms > MIN_STALL_MS {
            world.stalls.borrow_mut().push((now, stall_ms));
        }
    }
}

/// Takes backups of the store.
pub async fn take_backups(world: Rc<World>) {
    loop {
        // A store that closes all connections cannot be backed up.
        if world.store_mode() != StoreMode::Closing {
            world.take_backup();
        }
        compio::time::sleep(BACKUP_INTERVAL).await;
    }
}

/// Reports hosts that end though nobody asked them to, and starts them again.
pub async fn restart_ended_hosts(world: Rc<World>, hosts: Hosts) {
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let host_count = hosts.borrow().len();
        for n in 0..host_count {
            let stop_requested = hosts.borrow()[n].stop_requested_ms.is_some();
            let exit = hosts.borrow_mut()[n].exit_status();
            if let Some(status) = exit.filter(|_| !stop_requested) {
                let now = world.now();
                let reloaded = hosts.borrow()[n].reloaded_ms;
                world.ledger.borrow_mut().add_violation(format!(
                    "host {n} ended by itself at {now} ms: {status}; signalled to reload at \
                     {reloaded:?} ms"
                ));
                injection::restart(&world, &hosts, n);
            }
        }
    }
}
