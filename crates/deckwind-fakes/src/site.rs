//! Requests and a release document as the users' callers and operator send
//! them, according to their published protocol.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of prompt tokens and of answer tokens that callers usually announce.
pub const USUAL_TOKENS: (u32, u32) = (50, 24);

/// Deadline that callers usually set.
const USUAL_DEADLINE: Duration = Duration::from_secs(3);

/// Beginning of all prompts of [`prompt_parts`], and a part on which targets crash.
const FIRST_PART: &str = "f0:40";
const PART_AT_FAULT: &str = "bad0:20";

/// Number of bytes of a request's ID that name its own part.
const MAX_ID_BYTES: usize = 16;

/// Pools of [`fleet_release_document`].
const ENGINES: &str = "engines";
const PLAIN: &str = "plain";

/// Body of a [`FakeCall`].
pub const CALL_BODY: &[u8] = b"body";

/// The host of the routes in [`release_document`].
pub const HOST: &str = "site.example";

/// A caller's request.
#[derive(Clone, Debug)]
pub struct FakeCall<'a> {
    /// Request ID; each try has its own.
    pub id: &'a str,
    /// Path; the first segment selects the route.
    pub path: &'a str,
    /// API key, sent as the bearer token.
    pub key: &'a str,
    /// Number of prompt tokens and of answer tokens of a generation, which is answered by a
    /// stream of events.
    pub tokens: Option<(u32, u32)>,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// ID of the last event that the caller received, to resume a stream after it.
    pub last_event: Option<u64>,
    /// Parts of the prompt, as `ID:TOKENS` separated by commas.
    pub prompt_parts: Option<&'a str>,
}

/// Returns the raw HTTP/1.1 head of a generation request with an empty body.
///
/// The head has no deadline header, so the timeout of the route applies.
pub fn generation_head(path: &str, key: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n\
         X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Token-Count: 50,24\r\nContent-Length: 0\r\n\r\n"
    )
}

impl<'a> FakeCall<'a> {
    /// Returns a plain request with a deadline of 3 s.
    pub fn new(id: &'a str, path: &'a str, key: &'a str) -> Self {
        Self {
            id,
            path,
            key,
            tokens: None,
            deadline: USUAL_DEADLINE,
            last_event: None,
            prompt_parts: None,
        }
    }

    /// Builds the request to a router.
    ///
    /// The tenant header names another account, which a router has to ignore in
    /// favour of the key.
    ///
    /// # Errors
    ///
    /// Fails if the path or a header value is invalid.
    pub fn request(&self, router: SocketAddr) -> http::Result<Request<Full<Bytes>>> {
        let mut req = Request::post(format!("http://{router}{}", self.path))
            .header("host", HOST)
            .header("x-deckwind-request-id", self.id)
            .header(
                "x-deckwind-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .header("x-deckwind-tenant", "somebody-else")
            .header("authorization", format!("Bearer {}", self.key));
        if let Some((prompt, answer)) = self.tokens {
            req = req.header("x-deckwind-token-count", format!("{prompt},{answer}"));
        }
        if let Some(last) = self.last_event {
            req = req.header("last-event-id", last.to_string());
        }
        if let Some(parts) = self.prompt_parts {
            req = req.header("x-deckwind-prompt-prefix", parts);
        }
        req.body(Full::new(Bytes::from_static(CALL_BODY)))
    }
}

/// Returns the parts of a generation request's prompt. All share the first one; the last one
/// is the request's own. If `is_at_fault`, targets crash on the one in between.
pub fn prompt_parts(id: &str, is_at_fault: bool) -> String {
    prompt_parts_after(FIRST_PART, id, is_at_fault)
}

/// Returns the parts of a generation request's prompt like [`prompt_parts`], with this first
/// part (`ID:TOKENS`).
pub fn prompt_parts_after(first: &str, id: &str, is_at_fault: bool) -> String {
    let own = id.bytes().rev().take(MAX_ID_BYTES);
    let own: String = own.map(|b| format!("{b:02x}")).collect();
    match is_at_fault {
        true => format!("{first},{PART_AT_FAULT},{own}:50"),
        false => format!("{first},{own}:50"),
    }
}

/// Returns a release document with one account that has the given keys.
///
/// The routes `/safe/`, `/once/` and `/tell/` (streams that can't be resumed) use
/// the pool `plain`. The routes `/stream/` and `/long/` (timeout 60 s instead of
/// 3 s) use the pool `engines`, whose model has four layers; a card holds two.
pub fn release_document(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, pool: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": if name == "long" { 60_000 } else { 3_000 },
            "sloMs": 100, "priority": 1, "backend": pool,
            "maxAttempts": attempts, "public": false, "resumable": pool == "engines",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", "plain", 2),
            route("once", "unsafe", "plain", 1),
            route("stream", "streaming", "engines", 2),
            route("tell", "streaming", "plain", 2),
            route("long", "streaming", "engines", 2),
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConns": 50},
            {"name": "engines", "healthPath": "/health", "maxConns": 50, "engine": {
                "slots": 64, "kvCapacity": 10000, "kvTokenBytes": 100000, "step_ms": 1.0,
                "models": [{"name": "m", "load_s": 1.0}], "layers": 4, "layer_mb": 100.0,
                "usual": {"prompt": 50, "answer": 20},
                "kinds": [{"name": "card", "mb": 900.0, "pace": 1.0, "read_x": 1.0}]}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
            "headerTimeoutMs": 1000, "idleTimeoutMs": 1500},
        "tenants": [{"name": "account", "apiKeys": keys, "priority": 1}],
    })
}

/// Returns the request ID that a target received; empty if there was none.
pub fn request_id(seen: &crate::SeenRequest) -> String {
    let id = seen.headers.get("x-deckwind-request-id");
    id.cloned().unwrap_or_default()
}

/// A kind of accelerator of the engines of [`fleet_release_document`].
#[derive(Clone, Copy, Debug)]
pub struct AcceleratorKind<'a> {
    /// Name of the kind.
    pub name: &'a str,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Step time relative to the fastest kind.
    pub step_factor: f64,
    /// Time to read prompts, relative to the fastest kind.
    pub read_factor: f64,
}

/// Returns a release document at the size of a deployment, with one account that has this key.
///
/// The route `/stream/` uses the pool `engines`, the routes `/once/` and `/safe/` the pool
/// `plain`. At most `attempts` targets may run a request that may run again.
pub fn fleet_release_document(
    version: u64,
    key: &str,
    attempts: u32,
    kinds: &[AcceleratorKind],
) -> Value {
    let route = |name: &str, kind: &str, pool: &str, attempts: u32, timeout: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": timeout, "sloMs": if pool == ENGINES { 500 } else { 120 },
            "priority": 1, "backend": pool, "maxAttempts": attempts, "public": false,
            "resumable": pool == ENGINES, "gap_aim_ms": 250,
        })
    };
    let kind = |k: &AcceleratorKind| {
        json!({
            "name": k.name, "mb": k.memory_mb,
            "pace": k.step_factor, "read_x": k.read_factor,
        })
    };
    let kinds: Vec<Value> = kinds.iter().map(kind).collect();
    json!({
        "version": version,
        "routes": [
            route("stream", "streaming", ENGINES, attempts, 20_000),
            route("once", "unsafe", PLAIN, 1, 800),
            route("safe", "safe", PLAIN, attempts, 600),
        ],
        "services": [
            {"name": PLAIN, "healthPath": "/health", "maxConns": 410},
            {"name": ENGINES, "healthPath": "/health", "maxConns": 1248, "engine": {
                "slots": 192, "kvCapacity": 100_000, "kvTokenBytes": 492_000, "stride": 5,
                "step_ms": 1.02, "loads_at_once": 6, "models": [{"name": "m", "load_s": 14.0}],
                "layers": 80, "layer_mb": 1750.0, "usual": {"prompt": 740, "answer": 225},
                "kinds": kinds}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "account", "apiKeys": [key], "priority": 1}],
    })
}
