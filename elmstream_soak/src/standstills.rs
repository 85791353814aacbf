//! Backend servers that leave without notice after a host stood still.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;

use crate::{
    callers::Hosts,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// How long the host stands still; longer than the age of a table that shows an outage.
const STANDSTILL_TIME: Duration = Duration::from_millis(3_500);
/// Time for which the server is listed before that.
const LISTED_TIME: Duration = Duration::from_millis(1_750);
/// Time from the beginning of the standstill until another server joins. What the host knows then is
/// older than the age of a table that shows an outage when it wakes.
const JOINING_DELAY: Duration = Duration::from_millis(400);
/// Time from the host's waking until the entry is removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(1_300);
/// Time for which a server still serves after its entry was removed.
const SERVING_TIME: Duration = Duration::from_millis(2_300);

/// Freezes a host, and removes a server's entry without notice soon after the host woke. The server
/// serves on for as long as servers do, then it ends.
pub async fn remove_after_standstill(
    world: &Rc<World>,
    hosts: &Hosts,
    n: usize,
    address: SocketAddr,
) {
    let server = format!("{SHOP}-unsaid-{n}-{}", world.now());
    world.servers.borrow_mut().insert(server.clone(), ServerMode::Healthy);
    world.register_server(&server, SHOP, address, false);
    compio::time::sleep(LISTED_TIME).await;
    hosts.borrow_mut()[n].record_unplanned(world.now());
    hosts.borrow_mut()[n].signal("STOP");
    compio::time::sleep(JOINING_DELAY).await;
    // The table changes meanwhile, as when the servers of a service are replaced.
    let joining = format!("{server}-next");
    world.servers.borrow_mut().insert(joining.clone(), ServerMode::Healthy);
    world.register_server(&joining, SHOP, address, false);
    compio::time::sleep(STANDSTILL_TIME.saturating_sub(JOINING_DELAY)).await;
    hosts.borrow_mut()[n].signal("CONT");
    hosts.borrow_mut()[n].record_unplanned(world.now());
    compio::time::sleep(REMOVAL_DELAY).await;
    let is_acknowledged = world.store_mode() != StoreMode::Closing;
    if !world.breaks("unsaid") {
        world.put(RowKey::Server(server.clone()), None);
    }
    if is_acknowledged {
        world.unsaid_removals.record(&server, world.now(), world.era.get());
        world.ledger.borrow_mut().count("servers removed after a standstill");
    }
    compio::time::sleep(SERVING_TIME).await;
    if !world.breaks("unsaid") {
        world.servers.borrow_mut().remove(&server);
    }
}
