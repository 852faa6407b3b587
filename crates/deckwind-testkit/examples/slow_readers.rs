//! Measures the resident memory of a router process while many callers read nothing of
//! their answers.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example slow_readers -- BIN_FOLDER [MEMORY_MB]
//! ```

use anyhow::{Context, Result};
use deckwind_fakes::{FakeTargetServer, generation_head, release_document};
use deckwind_testkit::{Layout, Processes, eventually_async};
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Size of each answer: 8 MB, written as fast as it is read. Socket buffers hold about 3 MB
/// of it.
const EVENTS: u32 = 2_000;
const EVENT_BYTES: u32 = 4_000;

/// Returns the resident memory of a process in KiB.
fn resident_kib(process: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value
        .context("no VmRSS line in the process status")?
        .parse()
        .context("invalid VmRSS")
}

/// Posts a JSON body; returns `None` unless the answer is a success.
async fn post(address: SocketAddr, path: &str, body: &Value) -> Option<()> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body = Full::new(bytes::Bytes::from(body.to_string()));
    let req = Request::post(format!("http://{address}{path}")).body(body);
    let res = client.request(req.ok()?).await.ok()?;
    res.status().is_success().then_some(())
}

/// Requests a flood of events and returns the connection, without reading from it.
async fn open_stream(router: SocketAddr, id: &str) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(8_192)?;
    let mut stream = socket.connect(router).await?;
    let path = format!("/tell/flood-{EVENTS}-{EVENT_BYTES}");
    let head = generation_head(&path, "key", id);
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let bin_folder = args.next().context("the argument BIN_FOLDER is missing")?;
    let mut layout = Layout::new(1, 1)?;
    layout.memory_mb = Some(args.next().map_or(Ok(160.0), |m| m.parse())?);
    let path = |name: &str| format!("{bin_folder}/{name}");
    let daemon = path("testkit-daemon");
    let cluster = Processes::new(layout, &daemon, &path("testkit-cli"), &path("testkit-fake"));
    let _control = cluster.control(0)?;
    let router = cluster.router(0)?;
    let control = cluster.layout.control_calls[0];
    let release = release_document(1, &["key"]);
    eventually_async("the release is accepted", || {
        post(control, "/v1/config/put", &release)
    })
    .await;
    let target = FakeTargetServer::start("p-0").await?;
    let announcement = target.announcement("plain", "recife-a", "ready", 1);
    let heartbeat = "/v1/instances/p-0/heartbeat";
    eventually_async("the target is known", || {
        post(control, heartbeat, &announcement)
    })
    .await;
    let routes = cluster.layout.routers[0].routes;
    eventually_async("the router serves requests", || async {
        drop(open_stream(routes, "warm-up").await.ok()?);
        target
            .received_requests()
            .iter()
            .any(|r| r.line.contains("flood"))
            .then_some(())
    })
    .await;
    println!("memory {:?} MB, answers of 8 MB", cluster.layout.memory_mb);
    println!("no slow callers: {} KiB", resident_kib(router.id())?);
    for callers in [5, 10, 20, 40, 80] {
        let written_before = target.completed_floods().len();
        let mut open = Vec::new();
        for i in 0..callers {
            open.push(open_stream(routes, &format!("slow-{callers}-{i}")).await?);
        }
        // Long enough to transfer the answers over loopback; the callers don't read.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let written = target.completed_floods().len() - written_before;
        let resident = resident_kib(router.id())?;
        println!(
            "{callers:>4} slow callers: {resident:>7} KiB, {written} answers read completely from the target"
        );
        drop(open);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Ok(())
}
