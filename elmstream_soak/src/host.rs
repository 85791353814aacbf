//! One host as a process: elmstream's own parts over the soak's store.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use elmstream_edge::{Edge, Settings, Source, SourceError, lifecycle, source::Rows};
use elmstream_http::{Stopper, body, client};
use elmstream_steer::{settings::Host, view::Table};
use http::Request;
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Time in which the store must answer, beyond a wait that was asked for.
const ANSWER: Duration = Duration::from_millis(500);
/// The signal that asks for a planned stop.
const SIGTERM: i32 = 15;

/// Rows as they travel between the soak's store and its hosts.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// The store's counter.
    pub version: u64,
    /// Rows.
    pub rows: Vec<elmstream_steer::view::Row>,
}

/// The soak's store, as a host sees it.
struct Remote {
    address: SocketAddr,
    name: String,
}

impl Remote {
    async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        wait: Duration,
    ) -> Result<T, SourceError> {
        let lost = |cause: String| SourceError::Unreachable { cause, kept: false };
        let exchange = async {
            let mut sender =
                client::connect(self.address, ANSWER).await.map_err(|e| lost(e.to_string()))?;
            let request = Request::builder().uri(path).header("host", "store");
            let request = request.header("from", &self.name).body(body::empty());
            let request = request.map_err(|e| lost(e.to_string()))?;
            let response = sender.send_request(request).await.map_err(|e| lost(e.to_string()))?;
            let status = response.status();
            let bytes = response.into_body().collect().await.map_err(|e| lost(e.to_string()))?;
            if !status.is_success() {
                return Err(SourceError::Refused { status: status.as_u16() });
            }
            let malformed = |e: postcard::Error| SourceError::Malformed { cause: e.to_string() };
            postcard::from_bytes(&bytes.to_bytes()).map_err(malformed)
        };
        match compio::time::timeout(ANSWER + wait, exchange).await {
            Ok(result) => result,
            Err(_) => Err(lost("no answer in time".into())),
        }
    }
}

impl Source for Remote {
    async fn all(&self, table: Table) -> Result<Rows, SourceError> {
        let page: Page =
            self.get(format!("/rows?table={}", table as usize), Duration::ZERO).await?;
        Ok(Rows { version: page.version, rows: page.rows })
    }

    async fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Rows>, SourceError> {
        let path =
            format!("/changes?table={}&after={after}&wait={}", table as usize, wait.as_millis());
        let page: Page = self.get(path, wait).await?;
        Ok(Some(Rows { version: page.version, rows: page.rows }))
    }

    async fn announce(&self, host: &Host) -> Result<(), SourceError> {
        self.get(format!("/announce?host={}", host.peers), Duration::ZERO).await
    }

    async fn withdraw(&self, host: &Host) -> Result<(), SourceError> {
        self.get(format!("/withdraw?host={}", host.peers), Duration::ZERO).await
    }

    async fn hosts(&self) -> Result<Vec<SocketAddr>, SourceError> {
        self.get("/hosts".into(), Duration::ZERO).await
    }
}

/// Runs a host until it is asked to stop.
pub async fn run(settings: &Path, store: SocketAddr) -> Result<(), String> {
    let text = fs::read_to_string(settings).map_err(|error| error.to_string())?;
    let settings = Settings::parse(&text).map_err(|error| error.to_string())?;
    let source = Remote { address: store, name: settings.host.name.clone() };
    let edge = Edge::new(settings);
    let (stopper, stop) = Stopper::new();
    let terminated = async {
        let _ = compio::signal::unix::signal(SIGTERM).await;
    };
    lifecycle::run(edge, source, stopper, stop, terminated).await.map_err(|error| error.to_string())
}
