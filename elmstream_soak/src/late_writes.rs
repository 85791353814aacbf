//! Backend servers that leave while the store completes an older heartbeat of theirs late.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::view::{RowContent, RowKey};

use crate::world::{SHOP, ServerMode, StoreMode, World};

/// Interval of a server's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time from when the server says that it leaves until the store completes the older heartbeat, and
/// from then until the server's next heartbeat.
const COMPLETION_DELAY: Duration = Duration::from_millis(1_600);
const NEXT_HEARTBEAT_DELAY: Duration = Duration::from_millis(1_400);
/// Sequence number with which the soak makes hosts use the server again, to test the check.
const HIGH_NUMBER: u64 = 100;

/// Adds a server that leaves. One of its earlier heartbeats is completed after the store has
/// acknowledged that it leaves.
pub async fn complete_late(world: &Rc<World>, address: SocketAddr) {
    let server = format!("{SHOP}-late-{}", world.now());
    let key = RowKey::Server(server.clone());
    world.servers.borrow_mut().insert(server.clone(), ServerMode::Healthy);
    world.register_server(&server, SHOP, address, false);
    world.register_server(&server, SHOP, address, false);
    let unanswered = world.written.borrow().get(&key).cloned().flatten();
    compio::time::sleep(HEARTBEAT_INTERVAL).await;
    world.register_server(&server, SHOP, address, false);
    let is_acknowledged = world.store_mode() != StoreMode::Closing;
    world.register_server(&server, SHOP, address, true);
    if is_acknowledged {
        world.late_writes.record(&server, world.now(), world.era.get());
        world.ledger.borrow_mut().count("servers left beside a late write");
    }
    compio::time::sleep(COMPLETION_DELAY).await;
    if let Some(RowContent::Server(mut entry)) = unanswered {
        if world.breaks("late write") {
            entry.entries = HIGH_NUMBER;
        }
        world.complete(key.clone(), Some(RowContent::Server(entry)));
    }
    compio::time::sleep(NEXT_HEARTBEAT_DELAY).await;
    world.register_server(&server, SHOP, address, true);
    compio::time::sleep(HEARTBEAT_INTERVAL).await;
    world.put(key, None);
    world.servers.borrow_mut().remove(&server);
}
