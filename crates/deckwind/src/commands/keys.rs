//! `deckwind keys new|token`

use super::file_of;
use crate::context::{Context, Exit};
use crate::ops;
use anyhow::Result;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::IpAddr;
use std::path::PathBuf;

/// The command.
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
        .help("A VM that gets a certificate");
    Command::new("keys")
        .about("Certificates, the operators' token and accounts' keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Makes certificates for VMs, and a CA where the folder has none")
                .arg(path("folder"))
                .arg(vm),
        )
        .subcommand(
            Command::new("token")
                .about("Makes a token or account key, and prints its SHA-256 for the settings")
                .arg(path("file")),
        )
}

fn parse_vm(text: &str) -> Result<(String, IpAddr), String> {
    let parsed = text.split_once('=').and_then(|(name, ip)| {
        let ip: IpAddr = ip.parse().ok()?;
        (!name.is_empty()).then(|| (name.to_string(), ip))
    });
    parsed.ok_or_else(|| "write NAME=IP, such as recife-a-1=10.0.0.1".to_string())
}

/// Makes them.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    match args.subcommand() {
        Some(("new", args)) => {
            let vms = args.get_many::<(String, IpAddr)>("vm").unwrap_or_default();
            let vms: Vec<(String, IpAddr)> = vms.cloned().collect();
            let made = ops::new_keys(&file_of(args, "folder")?, &vms)?;
            cx.print(&made, |m| m.files.join("\n"))?;
        }
        Some((_, args)) => {
            let sha256 = ops::new_token(&file_of(args, "file")?)?;
            cx.print(&serde_json::json!({ "sha256": sha256 }), |_| sha256.clone())?;
        }
        None => return Ok(Exit::Failed),
    }
    Ok(Exit::Ok)
}
