//! The cluster key, and the certificates and TLS configurations derived from it.
//!
//! Every entry host has the cluster's private key in its settings. From it, each
//! host derives an equal certificate authority and signs a certificate for itself
//! at each start. A peer with a certificate of this authority has proved that it
//! holds the cluster key.

use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use snafu::{ResultExt, Snafu};

/// Server name in every entry host's certificate.
pub const SERVER_NAME: &str = "elmstream";
/// Common name of the certificate authority.
const AUTHORITY_NAME: &str = "elmstream cluster";

/// A key or certificate that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The key is not a private key in PEM.
    #[snafu(display("not a private key in PEM: {source}"))]
    Key {
        /// The cause.
        source: rcgen::Error,
    },
    /// A certificate, or the private key that belongs to it, is not valid PEM.
    #[snafu(display("not a certificate in PEM: {source}"))]
    Certificate {
        /// The cause.
        source: rustls_pki_types::pem::Error,
    },
    /// TLS rejects the key or the certificate.
    #[snafu(display("TLS rejects the key or the certificate: {source}"))]
    Tls {
        /// The cause.
        source: rustls::Error,
    },
    /// The client certificate verifier cannot be built.
    #[snafu(display("cannot build the client certificate verifier: {source}"))]
    Verifier {
        /// The cause.
        source: rustls::client::VerifierBuilderError,
    },
}

/// Certificate and key of one entry host, with the authority that signed it.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    leaf: CertificateDer<'static>,
    leaf_key: PrivateKeyDer<'static>,
}

/// Generates a cluster key, in PEM.
pub fn generate_key() -> Result<String, Error> {
    Ok(KeyPair::generate().context(KeySnafu)?.serialize_pem())
}

/// Returns the authority's certificate for a cluster key, both in PEM.
pub fn authority_pem(key: &str) -> Result<String, Error> {
    let key = KeyPair::from_pem(key).context(KeySnafu)?;
    let certificate = authority_params().self_signed(&key).context(KeySnafu)?;
    Ok(certificate.pem())
}

/// Returns the TLS configuration of a client without certificate that trusts only
/// the authority in `pem`.
pub fn client_config_for_authority(pem: &str) -> Result<ClientConfig, Error> {
    let der = CertificateDer::from_pem_slice(pem.as_bytes()).context(CertificateSnafu)?;
    let mut roots = RootCertStore::empty();
    roots.add(der).context(TlsSnafu)?;
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
    let builder = builder.with_safe_default_protocol_versions().context(TlsSnafu)?;
    Ok(builder.with_root_certificates(roots).with_no_client_auth())
}

/// Returns the TLS configuration of a server with the given certificate chain and
/// private key, both in PEM.
pub fn server_config_from_pem(chain: &[u8], key: &[u8]) -> Result<ServerConfig, Error> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(chain).collect();
    let key = PrivateKeyDer::from_pem_slice(key).context(CertificateSnafu)?;
    let builder = server_builder()?.with_no_client_auth();
    builder.with_single_cert(chain.context(CertificateSnafu)?, key).context(TlsSnafu)
}

impl Identity {
    /// Derives the authority from a cluster key in PEM, and signs a new certificate.
    pub fn new(key: &str) -> Result<Identity, Error> {
        let key = KeyPair::from_pem(key).context(KeySnafu)?;
        let params = authority_params();
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

    /// Returns the TLS configuration for connections to other entry hosts, with
    /// certificates on both sides.
    pub fn peer_client_config(&self) -> Result<ClientConfig, Error> {
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let builder = builder.with_safe_default_protocol_versions().context(TlsSnafu)?;
        let builder = builder.with_root_certificates(self.roots()?);
        let chain = vec![self.leaf.clone()];
        builder.with_client_auth_cert(chain, self.leaf_key.clone_key()).context(TlsSnafu)
    }

    /// Returns the TLS configuration for connections from other entry hosts. A
    /// client without a certificate of the authority is rejected.
    pub fn peer_server_config(&self) -> Result<ServerConfig, Error> {
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(self.roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
        let verifier = verifier.build().context(VerifierSnafu)?;
        let builder = server_builder()?.with_client_cert_verifier(verifier);
        self.with_leaf(builder)
    }

    /// Returns the TLS configuration for operators, who authenticate by a token
    /// instead of a certificate.
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

/// Returns the parameters of the authority's certificate. They are equal on all
/// hosts, so that each host accepts certificates that the others signed.
fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params
}
