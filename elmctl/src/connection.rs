//! Connection to an entry host's address for operators: gRPC over HTTP/2 and TLS.

use std::{fs, future::Future, path::Path, pin::Pin, sync::Arc, time::Duration};

use compio::{net::TcpStream, tls::TlsConnector};
use cyper_core::HyperStream;
use elmstream_http::LocalExecutor;
use elmstream_proto::{
    identity::{SERVER_NAME, client_config_for_authority},
    operators::operators_client::OperatorsClient,
};
use http::{Request, Response, Uri};
use hyper::{body::Incoming, client::conn::http2::SendRequest};
use snafu::ResultExt;
use tonic::{body::Body, metadata::AsciiMetadataValue};
use tower::Service;

use crate::{
    cli::Connection,
    error::{Error, FileSnafu, IdentitySnafu, MissingSnafu},
};

/// Time in which the TCP connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// RPC client of one entry host.
pub type Client = OperatorsClient<Channel>;

/// Transport that sends calls over one HTTP/2 connection.
#[derive(Clone)]
pub struct Channel(SendRequest<Body>);

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// Connects to the host in the options. Returns the client and the value of the `authorization`
/// header for each call. Fails if an option is missing or the host cannot be reached.
pub async fn connect(options: &Connection) -> Result<(Client, AsciiMetadataValue), Error> {
    let address = options.host.ok_or(MissingSnafu { option: "host" }.build())?;
    let authority = read(options.authority.as_deref(), "authority")?;
    let token = read(options.token_file.as_deref(), "token-file")?;
    let mut config = client_config_for_authority(&authority).context(IdentitySnafu)?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(unreachable)?.map_err(unreachable)?;
    stream.set_nodelay(true).map_err(unreachable)?;
    let connector = TlsConnector::from(Arc::new(config));
    let stream = connector.connect(SERVER_NAME, stream).await.map_err(unreachable)?;
    let handshake =
        hyper::client::conn::http2::handshake(LocalExecutor, HyperStream::new_tls(stream));
    let (sender, connection) = handshake.await.map_err(unreachable)?;
    compio::runtime::spawn(async move {
        // An error of the connection is reported by the calls in flight.
        let _ = connection.await;
    })
    .detach();
    let origin: Uri = format!("https://{address}").parse().map_err(unreachable)?;
    let bearer = format!("Bearer {}", token.trim());
    let bearer = bearer.parse().map_err(|_| MissingSnafu { option: "token-file" }.build())?;
    Ok((OperatorsClient::with_origin(Channel(sender), origin), bearer))
}

fn unreachable(error: impl std::fmt::Display) -> Error {
    Error::Unreachable { reason: error.to_string() }
}

fn read(path: Option<&Path>, option: &'static str) -> Result<String, Error> {
    let path = path.ok_or(MissingSnafu { option }.build())?;
    fs::read_to_string(path).context(FileSnafu { path })
}
