//! Home regions that move with configurations, and the hosts, servers and callers that show whether
//! requests stay in them.

use std::{rc::Rc, time::Duration};

use elmstream_steer::model::{Repeatability, Route, Workspace};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    callers::{Drawn, HostConnection, Hosts, RequestParams},
    faults::{Event, Fault},
    injection,
    ledger::HomedArrival,
    world::{self, World},
};

/// Regions among which homes move; hosts and servers are divided over them. With three regions a
/// request that goes by the configuration before the last one is outside its home, too.
pub const REGIONS: [&str; 3] = ["a", "c", "d"];
/// The service of all requests with homes that move.
pub const SERVICE: &str = "homed";
/// Number of its servers in each region.
const SERVERS_PER_REGION: usize = 2;
/// Number of callers that send such requests.
pub const CALLERS: u64 = 4;
/// First path segments of requests with homes of the route, which is open, and of the workspace.
const KINDS: [&str; 2] = ["route-homed", "workspace-homed"];
/// The workspace whose homes move.
const WORKSPACE: &str = "moving";
/// Stands for the workspace in requests without a key.
pub const NO_WORKSPACE: &str = "none";
/// The configuration that introduces the key of the workspace, for its text only: all configurations
/// contain the key, and no soak reaches this version.
const KEY_VERSION: u64 = u64::MAX / 2;
/// Number of affinity keys.
const AFFINITY_KEYS: u32 = 40;

/// Time from the beginning of a cut until the host stands still: enough to have requests relayed, and
/// too short to take the paths for back, as connections of a cut host are accepted before they close.
const CUT_LEARNED_TIME: Duration = Duration::from_millis(600);
/// Time from the beginning of the standstill until homes move, and from then until the host wakes: the
/// configuration bound, and time in which requests are sent that are answered after the waking.
const MOVE_DELAY: Duration = Duration::from_millis(100);
const MOVED_TIME: Duration = Duration::from_millis(3_700);
/// Number of requests that wait for the host when it wakes, and how long before that they are sent.
const PENDING_REQUESTS: u64 = 24;
const PENDING_TIME: Duration = Duration::from_millis(400);
/// Time from the beginning of the cut until its end, in milliseconds.
pub const CUT_DURATION_MS: u64 = 6_000;

/// The home region that a configuration states.
pub fn home_of_version(version: u64) -> &'static str {
    REGIONS[(version % REGIONS.len() as u64) as usize]
}

/// Name of a region's only failure domain.
pub fn domain(region: &str) -> String {
    format!("{region}1")
}

/// The region of a host.
pub fn region_of_host(number: usize, homes_move: bool) -> &'static str {
    if homes_move { REGIONS[number % REGIONS.len()] } else { REGIONS[0] }
}

/// The region of a server, from its id.
pub fn region_of_server(id: &str) -> &str {
    let region = id.strip_prefix(SERVICE).and_then(|rest| rest.split('-').nth(1));
    region.unwrap_or(REGIONS[0])
}

/// Ids of the servers of the requests with homes that move.
pub fn servers() -> impl Iterator<Item = String> {
    let ids = |region| (0..SERVERS_PER_REGION).map(move |n| format!("{SERVICE}-{region}-{n}"));
    REGIONS.into_iter().flat_map(ids)
}

/// Whether homes move in a soak with these faults.
pub fn move_with(events: &[Event]) -> bool {
    let moves =
        |event: &Event| matches!(event.fault, Fault::MoveHomes | Fault::MoveHomesBesideCut(_));
    events.iter().any(moves)
}

/// The routes of a configuration whose requests have homes that move.
pub fn routes(version: u64) -> [Route; 2] {
    let [by_route, by_workspace] =
        KINDS.map(|kind| world::route(&format!("/{kind}/"), Repeatability::Safe, SERVICE));
    let homes = vec![home_of_version(version).to_owned()];
    [Route { homes, open: true, ..by_route }, by_workspace]
}

/// The workspace of a configuration whose homes move.
pub fn workspace(version: u64) -> Workspace {
    Workspace {
        name: WORKSPACE.into(),
        keys: vec![crate::workspaces::key_digest(WORKSPACE, KEY_VERSION)],
        homes: vec![home_of_version(version).to_owned()],
        ..Workspace::default()
    }
}

/// Draws a request with homes that move.
pub fn draw(random: &mut StdRng, _newest_version: u64) -> Drawn {
    let by_route = random.random_bool(0.5);
    let (kind, workspace) = if by_route { (KINDS[0], NO_WORKSPACE) } else { (KINDS[1], WORKSPACE) };
    let key = random.random_range(0..AFFINITY_KEYS);
    Drawn { kind, params: RequestParams { key, workspace, key_version: KEY_VERSION } }
}

/// Checks the region of a server that a host sent a request to.
pub fn check_arrival(world: &World, id: &str, server: &str, sender: usize) {
    if !server.starts_with(SERVICE) {
        return;
    }
    let region = if world.breaks("home") { "b" } else { region_of_server(server) };
    let arrival = HomedArrival { id, region, sender, arrived_ms: world.now() };
    let is_undisturbed = |host| world.is_undisturbed(host);
    world.ledger.borrow_mut().check_homes(&arrival, is_undisturbed, &world.outages.borrow());
}

/// Cuts a host from all servers, and lets it stand still while homes move, so that it wakes with
/// requests to be relayed and the route of before.
pub async fn move_beside_cut(world: &Rc<World>, hosts: &Hosts, n: usize) {
    let cut = {
        let (world, hosts) = (world.clone(), hosts.clone());
        let duration = Duration::from_millis(CUT_DURATION_MS);
        async move { injection::cut_from_servers(&world, &hosts, n, duration).await }
    };
    let cut = compio::runtime::spawn(cut);
    compio::time::sleep(CUT_LEARNED_TIME).await;
    hosts.borrow_mut()[n].record_unplanned(world.now());
    hosts.borrow_mut()[n].signal("STOP");
    compio::time::sleep(MOVE_DELAY).await;
    injection::configure(world);
    compio::time::sleep(MOVED_TIME - PENDING_TIME).await;
    (0..PENDING_REQUESTS).for_each(|number| send_pending(world, hosts, n, number));
    compio::time::sleep(PENDING_TIME).await;
    hosts.borrow_mut()[n].signal("CONT");
    hosts.borrow_mut()[n].record_unplanned(world.now());
    let _ = cut.await;
}

/// Sends a request to a host on a new connection, without waiting for its answer.
fn send_pending(world: &Rc<World>, hosts: &Hosts, n: usize, number: u64) {
    let (world, hosts) = (world.clone(), hosts.clone());
    let Drawn { kind, params } = draw(&mut StdRng::seed_from_u64(number), 0);
    let id = format!("{kind}-pending-{n}-{number}-{}", world.now());
    let send = async move {
        if let Some(connection) = HostConnection::open(&world, &hosts, n).await {
            connection.request(&world, &hosts, kind, &id, params).await;
        }
    };
    compio::runtime::spawn(send).detach();
}
