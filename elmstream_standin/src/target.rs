//! Where a loading caller sends: in turn, as a look-up ranks, or by the ways
//! that elmstream is compared with.

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

/// Time to ask one server for its load.
const ASK: Duration = Duration::from_millis(500);

/// How the next target is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pick {
    /// Each in turn.
    #[default]
    InTurn,
    /// At random.
    Random,
    /// The least loaded by reports that are asked for at times; what was sent
    /// since counts. A caller knows nothing of what other callers send.
    LeastLoaded,
}

/// A target and its load, as far as this caller knows.
struct Target {
    address: SocketAddr,
    load: u32,
}

/// The targets of one load.
#[derive(Default)]
pub struct Targets {
    pick: Pick,
    targets: RefCell<Vec<Target>>,
    turn: Cell<usize>,
}

/// What a backend server says of its load.
#[derive(Deserialize)]
struct Load {
    in_flight: u32,
}

impl Targets {
    /// Targets that are picked in this way.
    pub fn new(pick: Pick, addresses: &[SocketAddr]) -> Targets {
        let targets = Targets { pick, ..Targets::default() };
        targets.replace(addresses);
        targets
    }

    /// Takes other targets.
    pub fn replace(&self, addresses: &[SocketAddr]) {
        let target = |&address: &SocketAddr| Target { address, load: 0 };
        *self.targets.borrow_mut() = addresses.iter().map(target).collect();
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.targets.borrow().is_empty()
    }

    /// The next target.
    pub fn next(&self) -> Option<SocketAddr> {
        let mut targets = self.targets.borrow_mut();
        let count = targets.len();
        if count == 0 {
            return None;
        }
        let index = match self.pick {
            Pick::InTurn => self.turn.replace(self.turn.get().wrapping_add(1)) % count,
            Pick::Random => rand::rng().random_range(0..count),
            Pick::LeastLoaded => least(&targets),
        };
        targets[index].load += 1;
        Some(targets[index].address)
    }

    /// Asks all targets for their loads, where they matter.
    pub async fn poll_loads(&self) {
        if self.pick != Pick::LeastLoaded {
            return;
        }
        let count = self.targets.borrow().len();
        for index in 0..count {
            let address = self.targets.borrow()[index].address;
            if let Ok(Some(load)) = compio::time::timeout(ASK, ask(address)).await {
                self.targets.borrow_mut()[index].load = load;
            }
        }
    }
}

/// The index of the least loaded; one of them at random.
fn least(targets: &[Target]) -> usize {
    let least = targets.iter().map(|t| t.load).min();
    let equal: Vec<usize> =
        (0..targets.len()).filter(|&i| Some(targets[i].load) == least).collect();
    equal[rand::rng().random_range(0..equal.len())]
}

async fn ask(address: SocketAddr) -> Option<u32> {
    let mut sender = client::connect(address, ASK).await.ok()?;
    let request = Request::get("/load").header("host", address.to_string());
    let response = sender.send_request(request.body(body::empty()).ok()?).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice::<Load>(&bytes).ok().map(|load| load.in_flight)
}
