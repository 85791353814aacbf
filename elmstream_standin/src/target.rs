//! Target selection of the load generator: round robin over the hosts of a look-up,
//! or the random and least-loaded methods that elmstream is compared with.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use elmstream_http::{body, client};
use http::Request;
use http_body_util::BodyExt;
use rand::Rng;
use serde::Deserialize;

/// Timeout of one load query.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Method to choose the next target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pick {
    /// Round robin.
    #[default]
    InTurn,
    /// At random.
    Random,
    /// The target with the least load in flight: its last reported load plus the
    /// requests sent since. Requests of other callers count only once reported.
    LeastLoaded,
}

/// A target and its load, as estimated by this caller.
struct Target {
    address: SocketAddr,
    load: u32,
}

/// The targets of one load run.
#[derive(Default)]
pub struct Targets {
    pick: Pick,
    targets: RefCell<Vec<Target>>,
    /// Number of round-robin picks so far.
    picks: Cell<usize>,
}

/// A backend server's answer to a load query.
#[derive(Deserialize)]
struct LoadReport {
    in_flight: u32,
}

impl Targets {
    /// Creates targets that are picked by the given method.
    pub fn new(pick: Pick, addresses: &[SocketAddr]) -> Targets {
        let targets = Targets { pick, ..Targets::default() };
        targets.replace(addresses);
        targets
    }

    /// Replaces all targets and resets their loads.
    pub fn replace(&self, addresses: &[SocketAddr]) {
        let target = |&address: &SocketAddr| Target { address, load: 0 };
        *self.targets.borrow_mut() = addresses.iter().map(target).collect();
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.borrow().is_empty()
    }

    /// Picks the next target and counts a request to it; `None` if there are none.
    pub fn next(&self) -> Option<SocketAddr> {
        let mut targets = self.targets.borrow_mut();
        let count = targets.len();
        if count == 0 {
            return None;
        }
        let index = match self.pick {
            Pick::InTurn => self.picks.replace(self.picks.get().wrapping_add(1)) % count,
            Pick::Random => rand::rng().random_range(0..count),
            Pick::LeastLoaded => least_loaded(&targets),
        };
        targets[index].load += 1;
        Some(targets[index].address)
    }

    /// Queries the loads of all targets, one after the other, if the method uses
    /// them. A target that doesn't answer keeps its load.
    pub async fn poll_loads(&self) {
        if self.pick != Pick::LeastLoaded {
            return;
        }
        let count = self.targets.borrow().len();
        for index in 0..count {
            let address = self.targets.borrow()[index].address;
            if let Ok(Some(load)) =
                compio::time::timeout(LOAD_QUERY_TIMEOUT, query_load(address)).await
            {
                self.targets.borrow_mut()[index].load = load;
            }
        }
    }
}

/// Returns the index of the least loaded target, a random one if several tie.
fn least_loaded(targets: &[Target]) -> usize {
    let least_load = targets.iter().map(|t| t.load).min();
    let candidates: Vec<usize> =
        (0..targets.len()).filter(|&i| Some(targets[i].load) == least_load).collect();
    candidates[rand::rng().random_range(0..candidates.len())]
}

async fn query_load(address: SocketAddr) -> Option<u32> {
    let mut sender = client::connect(address, LOAD_QUERY_TIMEOUT).await.ok()?;
    let request = Request::get("/load").header("host", address.to_string());
    let response = sender.send_request(request.body(body::empty()).ok()?).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice::<LoadReport>(&bytes).ok().map(|load| load.in_flight)
}
