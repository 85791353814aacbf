//! One host as a process: elmstream's own parts over the soak's store.

use std::{net::SocketAddr, path::PathBuf, rc::Rc};

use elmstream_edge::{Edge, Settings, lifecycle};
use elmstream_http::Stopper;
use elmstreamd::signals::{SIGHUP, SIGTERM, Signals};
use serde_json::json;

use crate::store_client::StoreClient;

/// Runs a host until it is asked to stop.
pub async fn run(path: PathBuf, store: SocketAddr) -> Result<(), String> {
    let waits = |error: std::io::Error| error.to_string();
    let changes = Signals::new(SIGHUP).map_err(waits)?;
    let mut terminations = Signals::new(SIGTERM).map_err(waits)?;
    let settings = Settings::load(&path).map_err(|error| error.to_string())?;
    let source = StoreClient::new(store, settings.host.name.clone());
    let edge = Edge::new(settings);
    compio::runtime::spawn(reload(Rc::clone(&edge), path, changes)).detach();
    let (stopper, stop) = Stopper::new();
    let terminated = async {
        let _ = terminations.recv().await;
    };
    lifecycle::run(edge, source, stopper, stop, terminated).await.map_err(|error| error.to_string())
}

/// Reads the settings again whenever they are said to have changed, as the hosts of
/// the users' platform do.
async fn reload(edge: Rc<Edge>, path: PathBuf, mut changes: Signals) {
    while changes.recv().await.is_ok() {
        match Settings::load(&path) {
            Ok(settings) => edge.reload(&settings),
            Err(error) => {
                edge.event_log.write("reload_refused", json!({"error": error.to_string()}));
            }
        }
    }
}
