//! An operator's session with an entry host.

use std::time::{Duration, Instant};

use elmctl::{
    cli::Connection,
    connection::{self, Client},
};
use elmstream_config::Configuration;
use elmstream_proto::operators::{
    ApplyReply, ApplyRequest, DrainRequest, StatusReply, StatusRequest,
};
use tonic::{Request, metadata::AsciiMetadataValue};

use crate::fleet::Fleet;

/// Pause between two attempts to connect, and between two polls of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A session with one entry host.
pub struct Operator {
    client: Client,
    token: AsciiMetadataValue,
}

impl Operator {
    /// Connects to a host of the fleet, with retries for five seconds until it listens.
    ///
    /// Fails if it cannot be reached within that time.
    pub async fn connect(fleet: &Fleet, host: usize) -> Result<Operator, String> {
        let options = Connection {
            host: Some(fleet.hosts[host].settings.listen.operators),
            authority: Some(fleet.authority.clone()),
            token_file: Some(fleet.token_file.clone()),
        };
        let begin = Instant::now();
        loop {
            match connection::connect(&options).await {
                Ok((client, token)) => return Ok(Operator { client, token }),
                Err(error) if begin.elapsed() > Duration::from_secs(5) => {
                    return Err(error.to_string());
                }
                Err(_) => compio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert("authorization", self.token.clone());
        request
    }

    /// Applies a configuration, if `expected_revision` is the one in force. A refusal is a
    /// reply with a code other than 0.
    ///
    /// Fails if the call fails.
    pub async fn apply(
        &mut self,
        expected_revision: u64,
        configuration: &Configuration,
    ) -> Result<ApplyReply, String> {
        let document = configuration.to_text();
        let request = self.request(ApplyRequest { expected_revision, document });
        let reply = self.client.apply(request).await;
        reply.map(tonic::Response::into_inner).map_err(|e| e.to_string())
    }

    /// Drains an entity of a kind, if `expected_revision` is the one in force. A refusal is
    /// a reply with a code other than 0.
    ///
    /// Fails if the call fails.
    pub async fn drain(
        &mut self,
        expected_revision: u64,
        kind: &str,
        name: &str,
    ) -> Result<ApplyReply, String> {
        let request = DrainRequest {
            expected_revision,
            kind: kind.into(),
            name: name.into(),
            undrain: false,
        };
        let request = self.request(request);
        let reply = self.client.drain(request).await;
        reply.map(tonic::Response::into_inner).map_err(|e| e.to_string())
    }

    /// Reads the cluster's state as the connected host knows it.
    ///
    /// Fails if the call fails.
    pub async fn status(&mut self) -> Result<StatusReply, String> {
        let request = self.request(StatusRequest {});
        let reply = self.client.status(request).await;
        reply.map(tonic::Response::into_inner).map_err(|e| e.to_string())
    }

    /// Polls the state until it meets a condition and returns how long that took.
    ///
    /// Fails if a call fails or the timeout passes; the error starts with `description`.
    pub async fn wait_until(
        &mut self,
        timeout: Duration,
        description: &str,
        condition: impl Fn(&StatusReply) -> bool,
    ) -> Result<Duration, String> {
        let begin = Instant::now();
        loop {
            let status = self.status().await?;
            if condition(&status) {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > timeout {
                return Err(format!("{description}: not after {timeout:?}; state: {status:?}"));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Whether at least `hosts` live hosts have this revision or a newer one in force.
pub fn in_force(status: &StatusReply, revision: u64, hosts: usize) -> bool {
    let done = status.hosts.iter().filter(|h| h.live && h.revision >= revision);
    done.count() >= hosts
}

/// Number of slots that the live hosts report, over all services.
pub fn reported_slots(status: &StatusReply) -> u32 {
    status.services.iter().map(|s| s.slots).sum()
}
