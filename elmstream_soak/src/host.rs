//! One entry host as a process: elmstream's own components with the soak's store.

use std::{net::SocketAddr, path::PathBuf, rc::Rc};

use elmstream_edge::{Edge, Settings, lifecycle};
use elmstream_http::Stopper;
use elmstreamd::signals::{SIGHUP, SIGTERM, Signals};
use serde_json::json;

use crate::store_client::StoreClient;

/// Runs an entry host with the settings file at `settings_path` until it gets SIGTERM and
/// has stopped.
///
/// Fails if the settings are invalid, or if the host cannot start or stop in order.
pub async fn run(settings_path: PathBuf, store: SocketAddr) -> Result<(), String> {
    let signal_error = |error: std::io::Error| error.to_string();
    let reload_signals = Signals::new(SIGHUP).map_err(signal_error)?;
    let mut terminations = Signals::new(SIGTERM).map_err(signal_error)?;
    let settings = Settings::load(&settings_path).map_err(|error| error.to_string())?;
    let source = StoreClient::new(store, settings.host.name.clone());
    let edge = Edge::new(settings);
    compio::runtime::spawn(reload(Rc::clone(&edge), settings_path, reload_signals)).detach();
    let (stopper, stop) = Stopper::new();
    let terminated = async {
        let _ = terminations.recv().await;
    };
    lifecycle::run(edge, source, stopper, stop, terminated).await.map_err(|error| error.to_string())
}

/// Reloads the settings at each SIGHUP, as a deployed host does.
async fn reload(edge: Rc<Edge>, settings_path: PathBuf, mut reload_signals: Signals) {
    while reload_signals.recv().await.is_ok() {
        match Settings::load(&settings_path) {
            Ok(settings) => edge.reload(&settings),
            Err(error) => {
                edge.event_log.write("reload_refused", json!({"error": error.to_string()}));
            }
        }
    }
}
