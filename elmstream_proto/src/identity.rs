//! The cluster's key, and the certificates that follow from it.
//!
//! Every entry host has the cluster's private key in its settings. From it the
//! host makes a certification authority, the same on all hosts, and signs a
//! certificate for itself at each start. Whoever shows a certificate of this
//! authority has proved the key.

use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use snafu::{ResultExt, Snafu};

/// The name in every entry host's certificate.
pub const SERVER_NAME: &str = "elmstream";
/// The name of the authority.
const AUTHORITY: &str = "elmstream cluster";

/// A key or certificate that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The key is not a private key in PEM.
    #[snafu(display("not a private key in PEM: {source}"))]
    Key {
        /// The cause.
        source: rcgen::Error,
    },
    /// A certificate cannot be read.
    #[snafu(display("not a certificate in PEM: {source}"))]
    Certificate {
        /// The cause.
        source: rustls_pki_types::pem::Error,
    },
    /// TLS does not take key or certificate.
    #[snafu(display("TLS refuses key or certificate: {source}"))]
    Tls {
        /// The cause.
        source: rustls::Error,
    },
    /// The verifier of clients cannot be built.
    #[snafu(display("the verifier cannot be built: {source}"))]
    Verifier {
        /// The cause.
        source: rustls::client::VerifierBuilderError,
    },
}

/// What a host proves itself by.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    leaf: CertificateDer<'static>,
    leaf_key: PrivateKeyDer<'static>,
}

/// A new cluster key, in PEM.
pub fn generate_key() -> Result<String, Error> {
    Ok(KeyPair::generate().context(KeySnafu)?.serialize_pem())
}

/// The authority's certificate for a cluster key, both in PEM.
pub fn authority_pem(key: &str) -> Result<String, Error> {
    let key = KeyPair::from_pem(key).context(KeySnafu)?;
    let certificate = authority().self_signed(&key).context(KeySnafu)?;
    Ok(certificate.pem())
}

/// TLS for a client that trusts the authority only and proves nothing.
pub fn client_config_for_authority(pem: &str) -> Result<ClientConfig, Error> {
    let der = CertificateDer::from_pem_slice(pem.as_bytes()).context(CertificateSnafu)?;
    let mut roots = RootCertStore::empty();
    roots.add(der).context(TlsSnafu)?;
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
    let builder = builder.with_safe_default_protocol_versions().context(TlsSnafu)?;
    Ok(builder.with_root_certificates(roots).with_no_client_auth())
}

/// TLS for a server with a certificate chain and key of its own, in PEM.
pub fn server_config_from_pem(chain: &[u8], key: &[u8]) -> Result<ServerConfig, Error> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(chain).collect();
    let key = PrivateKeyDer::from_pem_slice(key).context(CertificateSnafu)?;
    let builder = server_builder()?.with_no_client_auth();
    builder.with_single_cert(chain.context(CertificateSnafu)?, key).context(TlsSnafu)
}

impl Identity {
    /// Makes the authority and a certificate signed by it.
    pub fn new(key: &str) -> Result<Identity, Error> {
        let key = KeyPair::from_pem(key).context(KeySnafu)?;
        let params = authority();
        let authority = params.self_signed(&key).context(KeySnafu)?;
        let issuer = Issuer::from_params(&params, &key);
        let leaf_key = KeyPair::generate().context(KeySnafu)?;
        let leaf = CertificateParams::new(vec![SERVER_NAME.to_owned()]).context(KeySnafu)?;
        let leaf = leaf.signed_by(&leaf_key, &issuer).context(KeySnafu)?;
        Ok(Identity {
            authority: authority.der().clone(),
            leaf: leaf.der().clone(),
            leaf_key: PrivateKeyDer::Pkcs8(leaf_key.serialize_der().into()),
        })
    }

    /// TLS towards other entry hosts, both sides proved.
    pub fn peer_client_config(&self) -> Result<ClientConfig, Error> {
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let builder = builder.with_safe_default_protocol_versions().context(TlsSnafu)?;
        let builder = builder.with_root_certificates(self.roots()?);
        let chain = vec![self.leaf.clone()];
        builder.with_client_auth_cert(chain, self.leaf_key.clone_key()).context(TlsSnafu)
    }

    /// TLS for other entry hosts; a client that proves nothing gets nothing.
    pub fn peer_server_config(&self) -> Result<ServerConfig, Error> {
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(self.roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
        let verifier = verifier.build().context(VerifierSnafu)?;
        let builder = server_builder()?.with_client_cert_verifier(verifier);
        self.with_leaf(builder)
    }

    /// TLS for operators, who prove themselves by a token.
    pub fn operator_server_config(&self) -> Result<ServerConfig, Error> {
        self.with_leaf(server_builder()?.with_no_client_auth())
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).context(TlsSnafu)?;
        Ok(roots)
    }

    fn with_leaf(
        &self,
        builder: rustls::ConfigBuilder<ServerConfig, rustls::server::WantsServerCert>,
    ) -> Result<ServerConfig, Error> {
        let chain = vec![self.leaf.clone()];
        builder.with_single_cert(chain, self.leaf_key.clone_key()).context(TlsSnafu)
    }
}

fn server_builder() -> Result<rustls::ConfigBuilder<ServerConfig, rustls::WantsVerifier>, Error> {
    let builder = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()));
    builder.with_safe_default_protocol_versions().context(TlsSnafu)
}

/// The authority's certificate before it is signed; the same on all hosts.
fn authority() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params.distinguished_name.push(DnType::CommonName, AUTHORITY);
    params
}
