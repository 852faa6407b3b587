//! Creation of certificates and secrets.

use anyhow::{Context as _, Result, bail};
use deckwind_net::keys::{new_ca, new_vm_certificate};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::fs::OpenOptions;
use std::io::Write;
use std::net::IpAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Files that were written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NewKeys {
    /// Paths of the files, in the order in which they were written.
    pub files: Vec<String>,
}

const CA_CERTIFICATE: &str = "ca.pem";
const CA_KEY: &str = "ca.key";

/// Creates certificates for VMs in a folder, and a CA if the folder has none. Existing
/// files are not overwritten.
///
/// # Errors
///
/// Fails if a certificate or key to be written exists already.
pub fn new_keys(folder: &Path, vms: &[(String, IpAddr)]) -> Result<NewKeys> {
    std::fs::create_dir_all(folder)
        .with_context(|| format!("failed to create folder {}", folder.display()))?;
    let mut written = NewKeys { files: Vec::new() };
    let ca_key_file = folder.join(CA_KEY);
    if !ca_key_file.exists() {
        let ca = new_ca()?;
        write_new(&folder.join(CA_CERTIFICATE), &ca.certificate, &mut written)?;
        write_new(&ca_key_file, &ca.key, &mut written)?;
    }
    let ca_key = std::fs::read_to_string(&ca_key_file)
        .with_context(|| format!("failed to read {}", ca_key_file.display()))?;
    for (name, ip) in vms {
        let pair = new_vm_certificate(&ca_key, name, *ip)?;
        write_new(
            &folder.join(format!("{name}.pem")),
            &pair.certificate,
            &mut written,
        )?;
        write_new(&folder.join(format!("{name}.key")), &pair.key, &mut written)?;
    }
    Ok(written)
}

/// Writes a new file that only its owner may read.
///
/// # Errors
///
/// Fails if the file exists already.
fn write_new(path: &Path, text: &str, written: &mut NewKeys) -> Result<()> {
    const OWNER_ONLY: u32 = 0o600;
    if path.exists() {
        bail!("{} is there already; move it away first", path.display());
    }
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY)
        .open(path);
    let mut file = file.with_context(|| format!("failed to create {}", path.display()))?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    written.files.push(path.display().to_string());
    Ok(())
}

/// Creates a secret, writes it to a new file, and returns its SHA-256 in hexadecimal.
pub fn new_token(file: &Path) -> Result<String> {
    let token = format!(
        "{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    );
    let mut written = NewKeys { files: Vec::new() };
    write_new(file, &token, &mut written)?;
    let digest = Sha256::digest(token.as_bytes());
    Ok(digest.iter().map(|b| format!("{b:02x}")).collect())
}
