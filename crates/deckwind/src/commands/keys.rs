//! The subcommand `deckwind keys new|token`.

use super::path_arg;
use crate::context::{Context, Exit};
use crate::ops;
use anyhow::Result;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::IpAddr;
use std::path::PathBuf;

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let path = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    let vm = Arg::new("vm")
        .long("vm")
        .value_name("NAME=IP")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(parse_vm)
        .help("VM to create a certificate for; may be given several times");
    Command::new("keys")
        .about("Creates certificates, the operators' token and client accounts' keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Creates certificates for VMs, and a CA if the folder has none")
                .arg(path("folder"))
                .arg(vm),
        )
        .subcommand(
            Command::new("token")
                .about("Creates a token or account key, and prints its SHA-256 for the settings")
                .arg(path("file")),
        )
}

fn parse_vm(text: &str) -> Result<(String, IpAddr), String> {
    let parsed = text.split_once('=').and_then(|(name, ip)| {
        let ip: IpAddr = ip.parse().ok()?;
        (!name.is_empty()).then(|| (name.to_string(), ip))
    });
    parsed.ok_or_else(|| "expected NAME=IP, such as recife-a-1=10.0.0.1".to_string())
}

/// Creates the certificates or the secret.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    match args.subcommand() {
        Some(("new", args)) => {
            let vms = args.get_many::<(String, IpAddr)>("vm").unwrap_or_default();
            let vms: Vec<(String, IpAddr)> = vms.cloned().collect();
            let written = ops::new_keys(&path_arg(args, "folder")?, &vms)?;
            cx.print(&written, |m| m.files.join("\n"))?;
        }
        Some((_, args)) => {
            let sha256 = ops::new_token(&path_arg(args, "file")?)?;
            cx.print(&serde_json::json!({ "sha256": sha256 }), |_| sha256.clone())?;
        }
        None => return Ok(Exit::Failed),
    }
    Ok(Exit::Ok)
}
