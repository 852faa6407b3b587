//! HTTP/1.1 and HTTP/2 server for callers of templates, built on hyper.
//!
//! oxhttp buffers a complete answer before it sends it (see docs/DESIGN.md), so it cannot
//! stream answers to callers. It serves operators only.

use super::chat::{ChatJob, ChatRun};
use super::chat_body::ChatRequest;
use super::chat_response::ChatResponder;
use super::claims::{ClaimResult, HeldClaim, claim};
use super::service;
use super::shared::{HeldTicket, RouterShared};
use super::template_answers::{
    self as answers, Body, CallerError, REQUEST_ID_HEADER, Ran, response,
};
use bytes::Bytes;
use deckwind_core::router::{CheckedRequest, Denied, DeniedCode, SlotOutcome, Work};
use deckwind_core::routing::prefix_hashes;
use deckwind_core::state::{
    AccountName, ContentDigest, Outcome, PartId, RequestTraits, TemplateName,
};
use deckwind_net::body::{CollectError, MessageBody, NoReservation, collect};
use deckwind_net::caller_stream::{CallerStream, EndsAnswer};
use deckwind_net::targets::ServiceCall;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
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

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Timeout for reading a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of an `Idempotency-Key` in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Maximum number of tokens buffered for a slow caller.
pub const MAX_BUFFERED_TOKENS: usize = 16;

/// Interval between checks for queued requests that have expired.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of connections that wait to be accepted. With the default of 128, a burst
/// of 500 connections loses handshakes, each of which is sent again only after a second.
const LISTEN_BACKLOG: u32 = 4_096;

/// Binds a TCP address for callers.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections from callers of templates. Never returns.
pub async fn accept(listener: TcpListener, shared: Arc<RouterShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            continue;
        };
        let Some(open) = shared.caller_connections.accept() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            let _open = open;
            let stream = CallerStream::new(stream);
            let ends_answer = stream.ends_answer();
            let service = service_fn(move |req| answer(shared.clone(), req, ends_answer.clone()));
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder
                .http1()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES);
            builder.http2().max_header_list_size(MAX_HEAD_BYTES as u32);
            let serving = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(e) = serving.await {
                log::debug!("event=caller_connection_ended error={:?}", e.to_string());
            }
        });
    }
}

/// Denies queued requests that can no longer start in time. Never returns.
pub async fn expire_waiting(shared: Arc<RouterShared>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let admitted = shared.core().tick(shared.clock.now());
        shared.notify_waiters(admitted);
    }
}

async fn answer(
    shared: Arc<RouterShared>,
    req: Request<Incoming>,
    ends_answer: EndsAnswer,
) -> Result<Response<Body>, Infallible> {
    let version = req.version();
    let res = handle(shared, req).await?;
    ends_answer.set_for(version, &res);
    Ok(res)
}

async fn handle(
    shared: Arc<RouterShared>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = shared.request_id();
    let path = req.uri().path().to_string();
    let result = tokio::select! {
        biased;
        result = route(&shared, &id, req) => result,
        () = shared.routes.stop.answers_ended() => Err(interrupted(&shared, &id)),
    };
    let mut res = result.unwrap_or_else(|e| {
        log::info!(
            "event=request_refused request={id} revision={} path={path:?} code={} status={}",
            shared.revision(),
            e.code,
            e.status
        );
        answers::error_response(&e)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        res.headers_mut().insert(REQUEST_ID_HEADER, value);
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
        "/health" => return Ok(response(200, "text/plain", "alive\n")),
        "/ready" => return Ok(ready(shared)),
        _ => {}
    }
    let account = authenticate(shared, req.headers())?;
    if path == "/v1/chat/completions" {
        if req.method() != Method::POST {
            return Err(not_run_error(
                StatusCode::METHOD_NOT_ALLOWED,
                "bad-request",
                "use POST",
            ));
        }
        return complete_chat(shared, id, account, req).await;
    }
    if let Some(rest) = path.strip_prefix("/s/") {
        let template = rest.split('/').next().unwrap_or_default();
        let template = TemplateName::from(template);
        return call_service(shared, id, account, template, req).await;
    }
    let message = "there is nothing here; use /v1/chat/completions or /s/TEMPLATE";
    Err(not_run_error(
        StatusCode::NOT_FOUND,
        "unknown-path",
        message,
    ))
}

/// Ends a request that has no answer when the router ends.
fn interrupted(shared: &RouterShared, id: &str) -> CallerError {
    let failure = shared.routes.stop.interrupt(id, true);
    let message = "the router stopped before the answer came; look up what came of the request";
    CallerError::new(failure.status(), failure.code(), Ran::Unknown, message)
}

fn not_run_error(status: StatusCode, code: &str, message: &str) -> CallerError {
    CallerError::new(status, code, Ran::NotRun, message)
}

fn ready(shared: &RouterShared) -> Response<Body> {
    if shared.core().is_ready(shared.clock.now()) {
        return response(200, "text/plain", "ready\n");
    }
    response(
        503,
        "text/plain",
        "not ready: draining or without a lease\n",
    )
}

fn authenticate(shared: &RouterShared, headers: &HeaderMap) -> Result<AccountName, CallerError> {
    let authorization = headers.get(header::AUTHORIZATION);
    let key = authorization.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| {
        let message = "give the account's key as Authorization: Bearer KEY";
        not_run_error(StatusCode::UNAUTHORIZED, "unknown-key", message)
    })?;
    let digest = Sha256::digest(key.as_bytes());
    let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
    Ok(shared.core().authenticate(&hex)?)
}

async fn read_body(shared: &RouterShared, body: MessageBody) -> Result<Bytes, CallerError> {
    let mut held = NoReservation;
    let collecting = collect(body, shared.cfg.max_body_bytes, &mut held);
    let timed_read = tokio::time::timeout(BODY_TIMEOUT, collecting).await;
    let collected = timed_read.map_err(|_| {
        not_run_error(
            StatusCode::REQUEST_TIMEOUT,
            "body-late",
            "the body did not come in time",
        )
    })?;
    match collected {
        Ok(body) => Ok(body.bytes),
        Err(CollectError::TooLong) => {
            let message = format!("the body is above {} bytes", shared.cfg.max_body_bytes);
            Err(not_run_error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                &message,
            ))
        }
        Err(_) => Err(not_run_error(
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
        .filter(|k| !k.is_empty() && k.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    let message =
        format!("Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters");
    match key {
        Some(key) => Ok(Some(key.to_string())),
        None => Err(not_run_error(
            StatusCode::BAD_REQUEST,
            "bad-request",
            &message,
        )),
    }
}

/// Returns the number of tokens that the caller has already received, according to its
/// `Last-Event-ID` (WHATWG HTML, server-sent events). The request runs again from the
/// start, since engines give the same answer to the same request, and the tokens already
/// received are skipped. Any router can thus continue the stream of a router that crashed,
/// and no router keeps state for it.
fn count_received_tokens(headers: &HeaderMap) -> Result<u32, CallerError> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(0);
    };
    let last = value.to_str().ok().and_then(|v| v.parse::<u32>().ok());
    match last.and_then(|l| l.checked_add(1)) {
        Some(count) => Ok(count),
        None => Err(not_run_error(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "Last-Event-ID must be the id of the last event that came",
        )),
    }
}

/// Applies the first checks and waits for a slot.
async fn admit(
    shared: &Arc<RouterShared>,
    account: &AccountName,
    template: &TemplateName,
) -> Result<(CheckedRequest, HeldTicket), CallerError> {
    let now = shared.clock.now();
    let checked_request = shared.core().check_request(now, account, template)?;
    let waiting = shared.register_waiter(checked_request.id);
    let outcome = shared.core().request_slot(now, &checked_request);
    let ticket = HeldTicket::new(shared, checked_request.id);
    match outcome {
        Ok(SlotOutcome::Start) => Ok((checked_request, ticket)),
        Ok(SlotOutcome::Wait) => match waiting.await {
            Ok(Ok(())) => Ok((checked_request, ticket)),
            Ok(Err(denied)) => refuse(shared, &checked_request, denied),
            Err(_) => refuse(
                shared,
                &checked_request,
                Denied::retryable(DeniedCode::Deadline, EXPIRE_INTERVAL),
            ),
        },
        Err(denied) => refuse(shared, &checked_request, denied),
    }
}

fn refuse<T>(
    shared: &RouterShared,
    checked_request: &CheckedRequest,
    denied: Denied,
) -> Result<T, CallerError> {
    let now = shared.clock.now();
    shared.core().answered(now, checked_request, None);
    Err(denied.into())
}

async fn call_service(
    shared: &Arc<RouterShared>,
    id: &str,
    account: AccountName,
    template: TemplateName,
    req: Request<Incoming>,
) -> Result<Response<Body>, CallerError> {
    let _in_progress = shared.begin_request();
    let key = idempotency_key(req.headers())?;
    let content_type = req.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_string();
    let full = req.uri().path();
    let path = full[format!("/s/{template}").len()..].to_string();
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let (head, body) = req.into_parts();
    let body = read_body(shared, MessageBody::of_request(&head, body)).await?;
    let traits = RequestTraits::from(content_digest(&method, &uri, &account, &body));
    shared.check_quarantine(&traits)?;
    let (checked_request, _ticket) = admit(shared, &account, &template).await?;
    let Work::Service(work) = checked_request.work.clone() else {
        return Err(Denied::permanent(DeniedCode::WrongTemplate).into());
    };
    let held = match claim_if_needed(shared, &checked_request, key.as_deref(), &body).await? {
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
    let result = service::run(shared, &checked_request, &work, &traits, call).await;
    let now = shared.clock.now();
    let took = result.is_ok().then(|| now.since(checked_request.arrived));
    shared.core().answered(now, &checked_request, took);
    if let Some(held) = held {
        held.finish(outcome_of(&result)).await;
    }
    let done = result?;
    Ok(response(done.status, &done.content_type, done.body))
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

/// Outcome of claiming a request, if its template needs a claim.
enum NeededClaim {
    Held(Option<HeldClaim>),
    Answer(Box<Response<Body>>),
}

async fn claim_if_needed(
    shared: &Arc<RouterShared>,
    checked_request: &CheckedRequest,
    key: Option<&str>,
    body: &[u8],
) -> Result<NeededClaim, CallerError> {
    if checked_request.repeatable {
        return Ok(NeededClaim::Held(None));
    }
    Ok(
        match claim(shared, &checked_request.account, key, body).await? {
            ClaimResult::Granted(held) => NeededClaim::Held(Some(held)),
            ClaimResult::Answer(res) => NeededClaim::Answer(res),
        },
    )
}

async fn complete_chat(
    shared: &Arc<RouterShared>,
    id: &str,
    account: AccountName,
    req: Request<Incoming>,
) -> Result<Response<Body>, CallerError> {
    let in_progress = shared.begin_request();
    let key = idempotency_key(req.headers())?;
    let received_tokens = count_received_tokens(req.headers())?;
    let (method, uri) = (req.method().clone(), req.uri().clone());
    let (head, body) = req.into_parts();
    let body = read_body(shared, MessageBody::of_request(&head, body)).await?;
    let content = content_digest(&method, &uri, &account, &body);
    let chat = parse_chat(&body)?;
    let messages: Vec<PartId> = chat.message_ids().collect();
    let traits = RequestTraits::new(content, Some(account.as_str()), &messages);
    shared.check_quarantine(&traits)?;
    let template = TemplateName::from(chat.model.as_str());
    let (checked_request, ticket) = admit(shared, &account, &template).await?;
    let Work::Chat(work) = checked_request.work.clone() else {
        return Err(Denied::permanent(DeniedCode::WrongTemplate).into());
    };
    let held = match claim_if_needed(shared, &checked_request, key.as_deref(), &body).await? {
        NeededClaim::Answer(res) => return Ok(*res),
        NeededClaim::Held(held) => held,
    };
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_TOKENS);
    let job = ChatJob {
        id: id.to_string(),
        checked_request: checked_request.clone(),
        work,
        traits,
        prompt: chat.prompt(),
        prefixes: prefix_hashes(chat.blocks()),
        max_tokens: chat.max_tokens,
    };
    tokio::spawn(ChatRun::new(shared.clone(), job, tx).run());
    let mut responder = ChatResponder {
        shared: shared.clone(),
        id: id.to_string(),
        chat,
        checked_request,
        held,
        rx,
        first: None,
        received_tokens,
        _ticket: ticket,
        _in_progress: in_progress,
    };
    responder.wait_for_first().await?;
    if responder.chat.stream {
        return Ok(responder.into_event_stream());
    }
    responder.into_full_response().await
}

/// Returns the digest of a request content, which does not depend on the request ID and so
/// stays the same when the request is sent again.
fn content_digest(method: &Method, uri: &Uri, account: &AccountName, body: &[u8]) -> ContentDigest {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    ContentDigest::of(method.as_str(), path, Some(account.as_str()), body)
}

fn parse_chat(body: &[u8]) -> Result<ChatRequest, CallerError> {
    let refuse = |why: String| not_run_error(StatusCode::BAD_REQUEST, "bad-request", &why);
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
