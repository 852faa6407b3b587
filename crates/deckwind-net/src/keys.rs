//! Certificates of our own processes: one CA, one certificate a VM.
//!
//! Both sides of each QUIC connection show theirs (mutual TLS, RFC 8446), and
//! each must be signed by the CA of the settings. Peers are reached by IP, so
//! the IP is what a certificate names (RFC 5280, subjectAltName iPAddress).

use anyhow::{Context, Result};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::net::IpAddr;
use std::path::{Path, PathBuf};

/// Where a process finds its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// The CA's certificate.
    pub ca: PathBuf,
    /// This VM's certificate.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub key: PathBuf,
}

/// A certificate and its key, as PEM text.
#[derive(Clone, Debug)]
pub struct PemPair {
    /// Certificate.
    pub certificate: String,
    /// Private key.
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

/// Makes a CA.
pub fn new_ca() -> Result<PemPair> {
    let key = KeyPair::generate()?;
    let certificate = ca_params()?.self_signed(&key)?;
    Ok(PemPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Makes a certificate for a VM, signed by the CA whose private key is `ca_key`.
pub fn new_vm_certificate(ca_key: &str, name: &str, ip: IpAddr) -> Result<PemPair> {
    let ca_key = KeyPair::from_pem(ca_key).context("the CA's private key can't be read")?;
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

/// What TLS needs, read from files.
pub struct LoadedKeys {
    /// Certificates that sign peers'.
    pub roots: rustls::RootCertStore,
    /// This VM's chain.
    pub chain: Vec<CertificateDer<'static>>,
    /// Its private key.
    pub key: PrivateKeyDer<'static>,
}

/// Reads the keys; errors name the file.
pub fn load(files: &KeyFiles) -> Result<LoadedKeys> {
    let mut roots = rustls::RootCertStore::empty();
    for cert in read_certificates(&files.ca)? {
        let place = || format!("{} is no CA certificate", files.ca.display());
        roots.add(cert).with_context(place)?;
    }
    let chain = read_certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .with_context(|| format!("{} holds no private key in PEM", files.key.display()))?;
    Ok(LoadedKeys { roots, chain, key })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let place = || format!("{} holds no certificate in PEM", path.display());
    CertificateDer::pem_file_iter(path)
        .with_context(place)?
        .collect::<Result<_, _>>()
        .with_context(place)
}
