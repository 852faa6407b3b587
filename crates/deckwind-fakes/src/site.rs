//! Requests and a release document as the users' callers and operator send
//! them, according to their published protocol.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;

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
    /// Whether the request is a generation, which is answered by a stream of events.
    pub generation: bool,
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

impl FakeCall<'_> {
    /// Builds the request to a router, with a deadline of 3 s.
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
            .header("x-deckwind-deadline-ms", "3000")
            .header("x-deckwind-tenant", "somebody-else")
            .header("authorization", format!("Bearer {}", self.key));
        if self.generation {
            req = req.header("x-deckwind-token-count", "50,24");
        }
        if let Some(last) = self.last_event {
            req = req.header("last-event-id", last.to_string());
        }
        if let Some(parts) = self.prompt_parts {
            req = req.header("x-deckwind-prompt-prefix", parts);
        }
        req.body(Full::new(Bytes::from("body")))
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
