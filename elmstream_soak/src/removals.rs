//! Backend servers whose entries are removed without notice while a host starts.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;

use crate::{
    callers::Hosts,
    injection,
    outages::Outages,
    process::SEED_HOSTS,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// Time for which a server is listed before its entry is removed.
const LISTED_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the other seed hosts are still frozen after the host has started.
const FROZEN_TIME: Duration = Duration::from_millis(250);
/// Time for which a server still serves after its entry was removed.
const SERVING_TIME: Duration = Duration::from_millis(7_500);

/// When the store acknowledged the removal of servers, in milliseconds since the start of the
/// soak, and its era then.
#[derive(Debug, Default)]
pub struct Removals(RefCell<BTreeMap<String, (u64, u64)>>);

impl Removals {
    /// How long a server's entry had been removed when a request was sent, in milliseconds, if
    /// hosts had to know by then. A removal that a restore may have undone is not judged.
    pub fn overdue_ms(
        &self,
        server: &str,
        sent_ms: u64,
        era: u64,
        outages: &Outages,
    ) -> Option<u64> {
        let (removed_ms, removed_era) = *self.0.borrow().get(server)?;
        let due_ms = outages.due(removed_ms).filter(|_| removed_era == era)?;
        (sent_ms > due_ms).then(|| sent_ms - removed_ms)
    }
}

/// Adds a server, kills a host, removes the server's entry and starts the host again. The server
/// goes on serving for a while.
///
/// The other seed hosts are frozen meanwhile, so that the started host asks them for tables and
/// gets what they knew before the removal, after it has read the store.
pub async fn remove_while_host_starts(
    world: &Rc<World>,
    hosts: &Hosts,
    n: usize,
    down_time: Duration,
    address: SocketAddr,
) {
    let server = format!("{SHOP}-removed-{n}-{}", world.now());
    world.servers.borrow_mut().insert(server.clone(), ServerMode::Healthy);
    world.register_server(&server, SHOP, address, false);
    compio::time::sleep(LISTED_TIME).await;
    hosts.borrow_mut()[n].record_unplanned(world.now());
    hosts.borrow_mut()[n].kill();
    compio::time::sleep(down_time).await;
    signal_other_seeds(world, hosts, n, "STOP");
    let is_acknowledged = world.store_mode() != StoreMode::Closing;
    if !world.breaks("removed") {
        world.put(RowKey::Server(server.clone()), None);
    }
    if is_acknowledged {
        let removal = (world.now(), world.era.get());
        world.removals.0.borrow_mut().insert(server.clone(), removal);
        world.ledger.borrow_mut().count("servers removed");
    }
    // Another server renews its entry, so that the host's first read is past the removal.
    world.rewrite(&RowKey::Server("pin-0".into()));
    injection::restart(world, hosts, n);
    compio::time::sleep(FROZEN_TIME).await;
    signal_other_seeds(world, hosts, n, "CONT");
    compio::time::sleep(SERVING_TIME).await;
    world.servers.borrow_mut().remove(&server);
}

fn signal_other_seeds(world: &World, hosts: &Hosts, n: usize, signal: &str) {
    let mut hosts = hosts.borrow_mut();
    for (_, host) in hosts.iter_mut().take(SEED_HOSTS).enumerate().filter(|(seed, _)| *seed != n) {
        host.record_unplanned(world.now());
        host.signal(signal);
    }
}
