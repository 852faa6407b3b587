//! The callers' side: HTTP/1.1 and HTTP/2 by hyper.
//!
//! oxhttp collects an answer before it sends it (see docs/DESIGN.md), so the
//! streams go by its nearest kin here; operators are served by oxhttp.

use super::answering::Answering;
use super::chat::{ChatJob, ChatRun};
use super::chat_body::ChatRequest;
use super::claims::{Claimed, HeldClaim, claim};
use super::service;
use super::shared::{HeldTicket, RouterShared};
use super::template_answers::{self as answers, Body, CallerError, REQUEST_ID, Ran, answer};
use bytes::Bytes;
use deckwind_core::router::{Denied, DeniedCode, Entered, Placed, Work};
use deckwind_core::routing::prefix_hashes;
use deckwind_core::state::{AccountName, ContentDigest, Outcome, TemplateName};
use deckwind_net::targets::ServiceCall;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use sha2::{Digest, Sha256};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;

/// Longest head of a request, bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Longest wait for a request's head.
const HEAD_WITHIN: Duration = Duration::from_secs(10);

/// Longest wait for a request's body.
const BODY_WITHIN: Duration = Duration::from_secs(30);

/// Longest `Idempotency-Key`, bytes.
const MAX_KEY: usize = 200;

/// Tokens that may wait for a slow caller.
pub const TOKENS_WAITING: usize = 16;

/// Between two looks at requests that wait.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// Connections that may wait to be accepted. With the default of 128 a burst of
/// 500 loses handshakes, and each waits a second for its resend.
const BACKLOG: u32 = 4_096;

/// Binds the callers' address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections for ever.
pub async fn accept(listener: TcpListener, shared: Arc<RouterShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(EXPIRE_EVERY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| handle(shared.clone(), req));
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder
                .http1()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WITHIN)
                .max_buf_size(MAX_HEAD);
            builder.http2().max_header_list_size(MAX_HEAD as u32);
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Refuses what waits and can no longer start, for ever.
pub async fn expire_waiting(shared: Arc<RouterShared>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        let admitted = shared.core().tick(shared.clock.now());
        shared.tell(admitted);
    }
}

async fn handle(
    shared: Arc<RouterShared>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = shared.request_id();
    let path = req.uri().path().to_string();
    let result = route(&shared, &id, req).await;
    let mut res = result.unwrap_or_else(|e| {
        log::info!(
            "event=request_refused request={id} revision={} path={path:?} code={} status={}",
            shared.revision(),
            e.code,
            e.status
        );
        answers::error(&e)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        res.headers_mut().insert(REQUEST_ID, value);
    }
    let labels = [("status", res.status().as_u16().to_string())];
    metrics::counter!("deckwind_router_answers_total", &labels).increment(1);
    Ok(res)
}

async fn route(
    shared: &Arc<RouterShared>,
    id: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, CallerError> {
    let path = req.uri().path().to_string();
    match path.as_str() {
        "/health" => return Ok(answer(200, "text/plain", "alive\n")),
        "/ready" => return Ok(ready(shared)),
        _ => {}
    }
    let account = authenticate(shared, req.headers())?;
    if path == "/v1/chat/completions" {
        if req.method() != Method::POST {
            return Err(bad(
                StatusCode::METHOD_NOT_ALLOWED,
                "bad-request",
                "use POST",
            ));
        }
        return chat(shared, id, account, req).await;
    }
    if let Some(rest) = path.strip_prefix("/s/") {
        let template = rest.split('/').next().unwrap_or_default();
        let template = TemplateName::from(template);
        return plain(shared, id, account, template, req).await;
    }
    let message = "there is nothing here; use /v1/chat/completions or /s/TEMPLATE";
    Err(bad(StatusCode::NOT_FOUND, "unknown-path", message))
}

fn bad(status: StatusCode, code: &str, message: &str) -> CallerError {
    CallerError::new(status, code, Ran::NotRun, message)
}

fn ready(shared: &RouterShared) -> Response<Body> {
    if shared.core().is_ready(shared.clock.now()) {
        return answer(200, "text/plain", "ready\n");
    }
    answer(
        503,
        "text/plain",
        "not ready: draining or without a lease\n",
    )
}

fn authenticate(shared: &RouterShared, headers: &HeaderMap) -> Result<AccountName, CallerError> {
    let given = headers.get(header::AUTHORIZATION);
    let key = given.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| {
        let message = "give the account's key as Authorization: Bearer KEY";
        bad(StatusCode::UNAUTHORIZED, "unknown-key", message)
    })?;
    let digest = Sha256::digest(key.as_bytes());
    let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
    Ok(shared.core().authenticate(&hex)?)
}

async fn read_body(shared: &RouterShared, body: Incoming) -> Result<Bytes, CallerError> {
    let limited = Limited::new(body, shared.cfg.max_body_bytes);
    let read = tokio::time::timeout(BODY_WITHIN, limited.collect()).await;
    let collected = read.map_err(|_| {
        bad(
            StatusCode::REQUEST_TIMEOUT,
            "body-late",
            "the body did not come in time",
        )
    })?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let message = format!("the body is above {} bytes", shared.cfg.max_body_bytes);
            Err(bad(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                &message,
            ))
        }
        Err(_) => Err(bad(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "the body broke off",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .filter(|k| !k.is_empty() && k.len() <= MAX_KEY);
    let message = format!("Idempotency-Key must be 1 to {MAX_KEY} visible characters");
    match key {
        Some(key) => Ok(Some(key.to_string())),
        None => Err(bad(StatusCode::BAD_REQUEST, "bad-request", &message)),
    }
}

/// Tokens that the caller has already: those up to its `Last-Event-ID` (WHATWG
/// HTML, server-sent events). The request runs again from the start, as engines
/// give the same answer to the same request, and what the caller has is left
/// out; so any router can go on where one that died left off, and none keeps
/// state for it.
fn tokens_had(headers: &HeaderMap) -> Result<u32, CallerError> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(0);
    };
    let last = value.to_str().ok().and_then(|v| v.parse::<u32>().ok());
    match last.and_then(|l| l.checked_add(1)) {
        Some(had) => Ok(had),
        None => Err(bad(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "Last-Event-ID must be the id of the last event that came",
        )),
    }
}

/// Passes the first checks and waits for a place.
async fn admit(
    shared: &Arc<RouterShared>,
    account: &AccountName,
    template: &TemplateName,
) -> Result<(Entered, HeldTicket), CallerError> {
    let now = shared.clock.now();
    let entered = shared.core().enter(now, account, template)?;
    let waiting = shared.wait_for(entered.id);
    let placed = shared.core().place(now, &entered);
    let ticket = HeldTicket::new(shared, entered.id);
    match placed {
        Ok(Placed::Start) => Ok((entered, ticket)),
        Ok(Placed::Wait) => match waiting.await {
            Ok(Ok(())) => Ok((entered, ticket)),
            Ok(Err(denied)) => refuse(shared, &entered, denied),
            Err(_) => refuse(
                shared,
                &entered,
                Denied::for_now(DeniedCode::Deadline, EXPIRE_EVERY),
            ),
        },
        Err(denied) => refuse(shared, &entered, denied),
    }
}

fn refuse<T>(shared: &RouterShared, entered: &Entered, denied: Denied) -> Result<T, CallerError> {
    let now = shared.clock.now();
    shared.core().answered(now, entered, None);
    Err(denied.into())
}

async fn plain(
    shared: &Arc<RouterShared>,
    id: &str,
    account: AccountName,
    template: TemplateName,
    req: Request<Incoming>,
) -> Result<Response<Body>, CallerError> {
    let _in_progress = shared.begin();
    let key = idempotency_key(req.headers())?;
    let content_type = req.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_string();
    let full = req.uri().path();
    let path = full[format!("/s/{template}").len()..].to_string();
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let body = read_body(shared, req.into_body()).await?;
    let content = content_of(&method, &uri, &account, &body);
    shared.may_be_sent(&content)?;
    let (entered, _ticket) = admit(shared, &account, &template).await?;
    let Work::Service(work) = entered.work.clone() else {
        return Err(Denied::for_good(DeniedCode::WrongTemplate).into());
    };
    let held = match claim_if_needed(shared, &entered, key.as_deref(), &body).await? {
        NeededClaim::Answer(res) => return Ok(*res),
        NeededClaim::Held(held) => held,
    };
    let call = ServiceCall {
        path: if path.is_empty() {
            "/".to_string()
        } else {
            path
        },
        body: body.to_vec(),
        content_type,
        idempotency_key: Some(key.unwrap_or_else(|| id.to_string())),
        timeout: work.timeout,
    };
    let result = service::run(shared, &entered, &work, content, call).await;
    let now = shared.clock.now();
    let took = result.is_ok().then(|| now.since(entered.arrived));
    shared.core().answered(now, &entered, took);
    if let Some(held) = held {
        held.finish(outcome_of(&result)).await;
    }
    let done = result?;
    Ok(answer(done.status, &done.content_type, done.body))
}

fn outcome_of(result: &Result<deckwind_net::targets::ServiceAnswer, CallerError>) -> Outcome {
    match result {
        Ok(done) => Outcome::Answer {
            status: done.status,
            body: done.body.clone(),
            truncated: false,
        },
        Err(e) if e.ran == Ran::NotRun => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    }
}

/// A claim, where the template needs one.
enum NeededClaim {
    Held(Option<HeldClaim>),
    Answer(Box<Response<Body>>),
}

async fn claim_if_needed(
    shared: &Arc<RouterShared>,
    entered: &Entered,
    key: Option<&str>,
    body: &[u8],
) -> Result<NeededClaim, CallerError> {
    if entered.repeatable {
        return Ok(NeededClaim::Held(None));
    }
    Ok(match claim(shared, &entered.account, key, body).await? {
        Claimed::Granted(held) => NeededClaim::Held(Some(held)),
        Claimed::Answer(res) => NeededClaim::Answer(res),
    })
}

async fn chat(
    shared: &Arc<RouterShared>,
    id: &str,
    account: AccountName,
    req: Request<Incoming>,
) -> Result<Response<Body>, CallerError> {
    let in_progress = shared.begin();
    let key = idempotency_key(req.headers())?;
    let had = tokens_had(req.headers())?;
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let body = read_body(shared, req.into_body()).await?;
    let content = content_of(&method, &uri, &account, &body);
    shared.may_be_sent(&content)?;
    let chat = parse_chat(&body)?;
    let template = TemplateName::from(chat.model.as_str());
    let (entered, ticket) = admit(shared, &account, &template).await?;
    let Work::Chat(work) = entered.work.clone() else {
        return Err(Denied::for_good(DeniedCode::WrongTemplate).into());
    };
    let held = match claim_if_needed(shared, &entered, key.as_deref(), &body).await? {
        NeededClaim::Answer(res) => return Ok(*res),
        NeededClaim::Held(held) => held,
    };
    let (tx, rx) = mpsc::channel(TOKENS_WAITING);
    let job = ChatJob {
        id: id.to_string(),
        entered: entered.clone(),
        work,
        content,
        prompt: chat.prompt(),
        prefixes: prefix_hashes(chat.blocks()),
        max_tokens: chat.max_tokens,
    };
    tokio::spawn(ChatRun::new(shared.clone(), job, tx).run());
    let mut answering = Answering {
        shared: shared.clone(),
        id: id.to_string(),
        chat,
        entered,
        held,
        rx,
        first: None,
        had,
        _ticket: ticket,
        _in_progress: in_progress,
    };
    answering.wait_for_first().await?;
    if answering.chat.stream {
        return Ok(answering.stream());
    }
    answering.whole().await
}

/// What a request is, whoever sends it again under whatever id.
fn content_of(method: &Method, uri: &Uri, account: &AccountName, body: &[u8]) -> ContentDigest {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    ContentDigest::of(method.as_str(), path, Some(account.as_str()), body)
}

fn parse_chat(body: &[u8]) -> Result<ChatRequest, CallerError> {
    let refuse = |why: String| bad(StatusCode::BAD_REQUEST, "bad-request", &why);
    let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| refuse(e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(refuse(
            "messages must hold at least one message".to_string(),
        ));
    }
    if chat.max_tokens == 0 {
        return Err(refuse("max_tokens must be 1 or more".to_string()));
    }
    Ok(chat)
}
