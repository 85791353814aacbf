//! One host as a process: elmstream's own parts over the soak's store.

use std::{net::SocketAddr, path::PathBuf, rc::Rc};

use elmstream_edge::{Edge, Settings, lifecycle};
use elmstream_http::Stopper;
use serde_json::json;

use crate::remote::Remote;

/// The signal that tells of changed settings.
const SIGHUP: i32 = 1;
/// The signal that asks for a planned stop.
const SIGTERM: i32 = 15;

/// Runs a host until it is asked to stop.
pub async fn run(path: PathBuf, store: SocketAddr) -> Result<(), String> {
    let settings = Settings::load(&path).map_err(|error| error.to_string())?;
    let source = Remote::new(store, settings.host.name.clone());
    let edge = Edge::new(settings);
    compio::runtime::spawn(reload(Rc::clone(&edge), path)).detach();
    let (stopper, stop) = Stopper::new();
    let terminated = async {
        let _ = compio::signal::unix::signal(SIGTERM).await;
    };
    lifecycle::run(edge, source, stopper, stop, terminated).await.map_err(|error| error.to_string())
}

/// Reads the settings again whenever they are said to have changed, as the hosts of
/// the users' platform do.
async fn reload(edge: Rc<Edge>, path: PathBuf) {
    while compio::signal::unix::signal(SIGHUP).await.is_ok() {
        match Settings::load(&path) {
            Ok(settings) => edge.reload(&settings),
            Err(error) => {
                edge.journal.write("reload_refused", json!({"error": error.to_string()}));
            }
        }
    }
}
