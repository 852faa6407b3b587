//! Certificates of deckwind processes: one CA, and one certificate per VM.
//!
//! Both sides of a QUIC connection present a certificate (mutual TLS, RFC 8446) that
//! must be signed by the configured CA. Peers connect by IP address, so a certificate
//! is issued for the IP address (RFC 5280, subjectAltName iPAddress).

use anyhow::{Context, Result};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::net::IpAddr;
use std::path::{Path, PathBuf};

/// Paths of the key files of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Path of the CA certificate.
    pub ca: PathBuf,
    /// Path of this VM's certificate.
    pub certificate: PathBuf,
    /// Path of this VM's private key.
    pub key: PathBuf,
}

/// A certificate and its key, as PEM text.
#[derive(Clone, Debug)]
pub struct PemPair {
    /// Certificate in PEM.
    pub certificate: String,
    /// Private key in PEM.
    pub key: String,
}

const CA_NAME: &str = "deckwind CA";

fn ca_params() -> Result<CertificateParams> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, CA_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Generates a CA key and a self-signed CA certificate.
pub fn new_ca() -> Result<PemPair> {
    let key = KeyPair::generate()?;
    let certificate = ca_params()?.self_signed(&key)?;
    Ok(PemPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Generates a key and a certificate for a VM, signed with the CA's private key `ca_key`
/// (PEM).
///
/// # Errors
/// If `ca_key` cannot be parsed or the certificate cannot be generated.
pub fn new_vm_certificate(ca_key: &str, name: &str, ip: IpAddr) -> Result<PemPair> {
    let ca_key = KeyPair::from_pem(ca_key).context("cannot read the CA's private key")?;
    let issuer = Issuer::new(ca_params()?, ca_key);
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.subject_alt_names = vec![SanType::IpAddress(ip)];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(PemPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Certificates and private key for TLS, loaded from files.
pub struct LoadedKeys {
    /// CA certificates that peers' certificates are verified against.
    pub roots: rustls::RootCertStore,
    /// Certificate chain of this VM.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of this VM.
    pub key: PrivateKeyDer<'static>,
}

/// Loads the key files.
///
/// # Errors
/// If a file cannot be read or parsed; the error names the file.
pub fn load(files: &KeyFiles) -> Result<LoadedKeys> {
    let mut roots = rustls::RootCertStore::empty();
    for cert in read_certificates(&files.ca)? {
        let context = || format!("{} is not a CA certificate", files.ca.display());
        roots.add(cert).with_context(context)?;
    }
    let chain = read_certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .with_context(|| format!("no PEM private key in {}", files.key.display()))?;
    Ok(LoadedKeys { roots, chain, key })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let context = || format!("no PEM certificate in {}", path.display());
    CertificateDer::pem_file_iter(path)
        .with_context(context)?
        .collect::<Result<_, _>>()
        .with_context(context)
}
