//! What is watched all the time: the soak's own pace, and hosts that end by themselves.

use std::{rc::Rc, time::Duration};

use crate::{
    callers::Hosts,
    injection,
    world::{StoreMode, World},
};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two copies of the store.
const COPY: Duration = Duration::from_millis(250);
/// Looks that are later than this, in milliseconds, are written down.
const LATE_MS: u64 = 10;

/// Writes down when the soak itself was late, as it then sees all else late.
pub async fn record_stalls(world: Rc<World>) {
    loop {
        let before = world.now();
        compio::time::sleep(LOOK).await;
        let now = world.now();
        let late = (now - before).saturating_sub(LOOK.as_millis() as u64);
        if late > LATE_MS {
            world.stalls.borrow_mut().push((now, late));
        }
    }
}

/// Keeps copies of the store.
pub async fn take_backups(world: Rc<World>) {
    loop {
        // What is away cannot be copied.
        if world.store_mode() != StoreMode::Closing {
            world.take_backup();
        }
        compio::time::sleep(COPY).await;
    }
}

/// Notices hosts that end though nobody asked them to, and starts them again.
pub async fn restart_ended_hosts(world: Rc<World>, hosts: Hosts) {
    loop {
        compio::time::sleep(LOOK).await;
        let all = hosts.borrow().len();
        for n in 0..all {
            let asked = hosts.borrow()[n].stop_requested_ms.is_some();
            let ended = hosts.borrow_mut()[n].exit_status();
            if let Some(status) = ended.filter(|_| !asked) {
                let now = world.now();
                let reloaded = hosts.borrow()[n].reloaded_ms;
                world.ledger.borrow_mut().add_violation(format!(
                    "host {n} ended by itself at {now} ms: {status}; told of changed settings at \
                     {reloaded:?} ms"
                ));
                injection::restart(&world, &hosts, n);
            }
        }
    }
}
