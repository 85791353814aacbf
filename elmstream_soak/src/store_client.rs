//! Client of the soak's store, as a host uses it. It reuses connections, as the real store
//! adapters do.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use elmstream_edge::{
    SourceError, StoreSource,
    store_source::{HostList, RefusedList, StoreRows},
};
use elmstream_http::{LocalBody, body, client};
use elmstream_steer::{
    RolloutWrite,
    digest::RequestDigest,
    host_registry::{RegisteredHost, RegistryEdit},
    poison::ServerCrash,
    version::StoreVersion,
    view::Table,
};
use http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Time limit for the store's answer, beyond a requested wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Rows as the store sends them to hosts.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// Version of the store.
    pub version: StoreVersion,
    /// Rows of the requested table.
    pub rows: Vec<elmstream_steer::view::Row>,
}

impl From<Page> for StoreRows {
    fn from(page: Page) -> StoreRows {
        StoreRows { version: page.version, rows: page.rows, unreadable: Vec::new() }
    }
}

/// Client of the soak's store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    name: String,
    idle: RefCell<Vec<SendRequest<LocalBody>>>,
}

impl StoreClient {
    /// A client of the store at `address`, for the host `name`.
    pub fn new(address: SocketAddr, name: String) -> StoreClient {
        StoreClient { address, name, idle: RefCell::default() }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        wait: Duration,
    ) -> Result<T, SourceError> {
        match compio::time::timeout(CALL_TIMEOUT + wait, self.exchange(path)).await {
            Ok(result) => result,
            Err(_) => {
                // Other idle connections may be as unresponsive as this one, and each would
                // cost a whole timeout.
                self.idle.borrow_mut().clear();
                Err(failure("no answer in time"))
            }
        }
    }

    async fn exchange<T: DeserializeOwned>(&self, path: String) -> Result<T, SourceError> {
        let mut sender = self.connection().await?;
        let request = Request::builder().uri(path).header("host", "store");
        let request = request.header("from", &self.name).body(body::empty()).map_err(failure)?;
        let response = sender.send_request(request).await.map_err(failure)?;
        let status = response.status();
        let bytes = response.into_body().collect().await.map_err(failure)?;
        // A connection is reused only after a complete answer.
        self.idle.borrow_mut().push(sender);
        if !status.is_success() {
            return Err(SourceError::Refused { status: status.as_u16() });
        }
        let malformed = |e: postcard::Error| SourceError::Malformed { cause: e.to_string() };
        postcard::from_bytes(&bytes.to_bytes()).map_err(malformed)
    }

    async fn connection(&self) -> Result<SendRequest<LocalBody>, SourceError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return client::connect(self.address, CALL_TIMEOUT).await.map_err(failure),
            }
        }
    }
}

fn failure(cause: impl ToString) -> SourceError {
    SourceError::Unreachable { cause: cause.to_string(), reused: false }
}

impl StoreSource for StoreClient {
    async fn read_all(&self, table: Table) -> Result<StoreRows, SourceError> {
        let page: Page =
            self.get(format!("/rows?table={}", table as usize), Duration::ZERO).await?;
        Ok(page.into())
    }

    async fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<StoreRows>, SourceError> {
        let path = format!(
            "/changes?table={}&after={}&wait={}",
            table as usize,
            after.count,
            wait.as_millis()
        );
        // Counts of another era refer to other changes.
        let page: Option<Page> = self.get(path, wait).await?;
        let page = page.filter(|page| page.version.era == after.era);
        Ok(page.map(Page::into))
    }

    async fn hosts(&self) -> Result<HostList, SourceError> {
        let hosts: Vec<(String, SocketAddr)> = self.get("/hosts".into(), Duration::ZERO).await?;
        let listed =
            hosts.into_iter().map(|(name, peers)| RegisteredHost { name, peers }).collect();
        Ok(HostList { listed, unreadable: Vec::new() })
    }

    async fn edit_hosts(&self, edit: &RegistryEdit) -> Result<(), SourceError> {
        for RegisteredHost { name, peers } in &edit.put {
            let path = format!("/announce?name={name}&host={peers}");
            self.get::<()>(path, Duration::ZERO).await?;
        }
        for name in &edit.remove {
            self.get::<()>(format!("/withdraw?name={name}"), Duration::ZERO).await?;
        }
        Ok(())
    }

    async fn refused_requests(&self) -> Result<RefusedList, SourceError> {
        let listed: Vec<(RequestDigest, Vec<ServerCrash>)> =
            self.get("/harmful".into(), Duration::ZERO).await?;
        Ok(RefusedList { listed, unreadable: Vec::new() })
    }

    async fn add_refused_request(
        &self,
        digest: &RequestDigest,
        crashes: &[ServerCrash],
    ) -> Result<(), SourceError> {
        let bytes = postcard::to_allocvec(crashes).map_err(failure)?;
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let path = format!("/list?content={}&endings={hex}", digest.hex());
        self.get::<()>(path, Duration::ZERO).await
    }

    async fn write_rollout(
        &self,
        write: &RolloutWrite,
    ) -> Result<Option<StoreVersion>, SourceError> {
        let bytes = postcard::to_allocvec(write).map_err(failure)?;
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.get(format!("/progress?write={hex}"), Duration::ZERO).await
    }
}
