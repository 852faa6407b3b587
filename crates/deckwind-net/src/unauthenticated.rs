//! QUIC without peer authentication, for processes without configured keys.
//!
//! Each process generates a certificate when it starts, and peers do not verify it. The
//! connection is encrypted, but any peer that can reach the address is trusted, so this
//! is only safe on networks that no other party can reach.

use crate::keys;
use anyhow::Result;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use rustls::DigitallySignedStruct;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls13_signature};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use std::net::IpAddr;
use std::sync::Arc;

/// Certificate verifier that accepts any certificate. It still verifies that the peer
/// holds the certificate's private key.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("QUIC requires TLS 1.3".to_string()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        verify_tls13_signature(message, cert, signed, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Returns server and client configuration with a newly generated certificate for `ip`.
pub fn endpoint_configs(ip: IpAddr, alpn: &[u8]) -> Result<(ServerConfig, ClientConfig)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let ca = keys::new_ca()?;
    let pair = keys::new_vm_certificate(&ca.key, "deckwind", ip)?;
    let chain = vec![CertificateDer::from_pem_slice(pair.certificate.as_bytes())?];
    let key = PrivateKeyDer::from_pem_slice(pair.key.as_bytes())?;
    let versions = [&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&versions)?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    server.alpn_protocols = vec![alpn.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&versions)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    client.alpn_protocols = vec![alpn.to_vec()];
    Ok((
        ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?)),
        ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?)),
    ))
}
