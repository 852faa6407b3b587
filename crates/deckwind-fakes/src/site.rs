//! Stand-ins of the users' callers and operator, from their published protocol.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Host of the routes in [`release_document`].
pub const HOST: &str = "site.example";

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct FakeCall<'a> {
    /// Names this try.
    pub id: &'a str,
    /// Path; its first part names the route.
    pub path: &'a str,
    /// Bearer key.
    pub key: &'a str,
    /// Whether it is a generation, answered by events.
    pub generation: bool,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// The head of a generation without a body, as a caller writes it to a socket: one that
/// waits as long as its route allows.
pub fn generation_head(path: &str, key: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n\
         X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Token-Count: 50,24\r\nContent-Length: 0\r\n\r\n"
    )
}

impl FakeCall<'_> {
    /// The request to a router. It waits 3 s, and claims to be another account's.
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
        req.body(Full::new(Bytes::from("body")))
    }
}

/// A release with the routes `/safe/`, `/once/`, `/tell/` (streams that can't be
/// taken up; all at the pool `plain`), `/stream/` and `/long/` (with more time; both
/// at `engines`, which hold four layers, two a card), for one account with these
/// keys.
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

/// The request id that a target saw; empty if there was none.
pub fn request_id(seen: &crate::SeenRequest) -> String {
    let id = seen.headers.get("x-deckwind-request-id");
    id.cloned().unwrap_or_default()
}
