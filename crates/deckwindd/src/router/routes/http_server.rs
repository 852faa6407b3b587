//! HTTP/1.1 server for callers of published routes.

use super::held_bytes::{Deliveries, HeldBytes, Side};
use super::job::{Admission, Job, authorize};
use super::responses::{BodyError, Failure, RouteBody, full_body, strip_connection_headers};
use super::trial_hold::TrialHold;
use super::{non_streaming, opening};
use crate::router::shared::RouterShared;
use bytes::Bytes;
use deckwind_core::state::{CallerLimits, ContentDigest, MAX_PARTS, RequestTraits, RouteKind};
use deckwind_core::time::Instant;
use deckwind_net::body::{CollectError, MessageBody, collect};
use deckwind_net::caller_stream::{CallerStream, EndsAnswer};
use deckwind_net::edge::CallerRequestHead;
use deckwind_net::targets::{set_tcp_options, set_tcp_options_with_timeout};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum wait for the first release: an election and a round trip.
const FIRST_RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between two checks for the first release.
const FIRST_RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Divisor of a caller's wait time that gives the maximum wait for the first release.
const PATIENCE_DIVISOR: u32 = 4;

/// Time between two checks whether a connection is to be closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time for which a caller's socket may stay full, or its bytes unacknowledged,
/// before the kernel closes it. A caller that reads slowly is not dead, and the router
/// decides which callers to disconnect. Callers give a stream up after a pause of 2 s.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(10);

/// Minimum size in bytes of the buffer for a head that hyper accepts.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Size in bytes of the shortest header field, a name of one letter without a value: the size
/// of a head bounds the number of its fields.
const MIN_FIELD_BYTES: usize = "a:\r\n".len();

/// Accepts connections of callers in an endless loop.
pub async fn accept(listener: TcpListener, shared: Arc<RouterShared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(open) = shared.caller_connections.accept() else {
                    continue;
                };
                set_tcp_options_with_timeout(&stream, MAX_UNREAD_TIME);
                let serving = serve(stream, shared.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<RouterShared>) {
    let release = shared.routes.release();
    let limits = release.map_or_else(CallerLimits::default, |r| r.release().limits);
    let stream = CallerStream::new(stream);
    let ends_answer = stream.ends_answer();
    let for_requests = shared.clone();
    let service = service_fn(move |req| answer(for_requests.clone(), req, ends_answer.clone()));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
        .max_buf_size((2 * limits.head_bytes as usize).max(MIN_HEAD_BUFFER))
        .max_headers(limits.head_bytes as usize / MIN_FIELD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            ended = serving.as_mut() => {
                if let Err(e) = ended {
                    log::debug!("event=caller_connection_ended error={:?}", e.to_string());
                }
                return;
            }
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !is_shutting_down => {
                if shared.routes.is_closing() {
                    serving.as_mut().graceful_shutdown();
                    is_shutting_down = true;
                }
            }
        }
    }
}

async fn answer(
    shared: Arc<RouterShared>,
    req: Request<Incoming>,
    ends_answer: EndsAnswer,
) -> Result<Response<RouteBody>, BodyError> {
    let version = req.version();
    let res = handle(shared, req).await?;
    ends_answer.set_for(version, &res);
    Ok(res)
}

async fn handle(
    shared: Arc<RouterShared>,
    req: Request<Incoming>,
) -> Result<Response<RouteBody>, BodyError> {
    let arrived = shared.clock.now();
    let _in_progress = shared.begin_request();
    let (parts, body) = req.into_parts();
    let read = shared.cx.dialects.callers.read_head(&parts);
    let head = match read {
        Ok(head) => head,
        Err(e) => {
            let failure = Failure::BadRequest(e.to_string());
            log_refused(&shared, "-", &parts, &failure);
            return Ok(failure.response());
        }
    };
    let body = MessageBody::of_request(&parts, body);
    let request_id = head.id.clone();
    let mut res = match prepare(&shared, head, &parts, body, arrived).await {
        Ok(job) => run(job).await,
        Err(failure) => {
            log_refused(&shared, &request_id, &parts, &failure);
            failure.response()
        }
    };
    if shared.routes.is_closing() || shared.caller_connections.closes_after_answer() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    let labels = [("status", res.status().as_u16().to_string())];
    metrics::counter!("deckwind_route_answers_total", &labels).increment(1);
    Ok(res)
}

fn log_refused(shared: &RouterShared, id: &str, parts: &Parts, failure: &Failure) {
    if *failure == Failure::NoMemory {
        metrics::counter!("deckwind_route_refused_for_memory_total").increment(1);
    }
    let release = shared.routes.release();
    let version = release.map_or(0, |r| r.release().version);
    log::info!(
        "event=request_refused request={id} path={:?} release={version} revision={} status={} code={}",
        parts.uri.path(),
        shared.revision(),
        failure.status().as_u16(),
        failure.code()
    );
}

/// Finds the route, the account and the pool, and reads the body.
async fn prepare(
    shared: &Arc<RouterShared>,
    head: CallerRequestHead,
    parts: &Parts,
    body: MessageBody,
    arrived: Instant,
) -> Result<Job, Failure> {
    await_first_release(shared, &head).await;
    let serving = shared.routes.serving();
    let admission = authorize(shared, &serving, &head, parts)?;
    if !shared.routes.admits(admission.route.kind) {
        return Err(Failure::Stopping);
    }
    let limits = admission.release.release().limits;
    let (body, held) = read_body(body, limits, &shared.routes.deliveries).await?;
    // Reading the body may have taken long, and what was allowed before may no longer
    // be.
    let admitted_at = shared.clock.now();
    let serving = shared.routes.serving();
    let admission = authorize(shared, &serving, &head, parts)?;
    let Admission {
        release,
        route,
        account,
        priority,
    } = admission;
    let pool = release.pool(&route, rand::random());
    let pool = pool.cloned().ok_or(Failure::NoTarget)?;
    shared.routes.count_request(shared.clock.now(), &pool.name);
    let mut parts = parts.clone();
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let wait_time = head.wait_time.unwrap_or(route.timeout());
    let uri = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let content = ContentDigest::of(parts.method.as_str(), uri, account.as_deref(), &body);
    log_ignored_parts(&head);
    Ok(Job {
        traits: RequestTraits::new(content, account.as_deref(), &head.prompt.ids),
        is_late: shared
            .routes
            .is_late(&route, wait_time.min(route.timeout())),
        shared: shared.clone(),
        deadline: arrived + wait_time.min(route.timeout()),
        rank: rank(priority, route.priority),
        account,
        head,
        parts,
        body,
        _held: held,
        route,
        pool,
        arrived,
        admitted_at,
        trial: TrialHold::default(),
    })
}

/// Logs that parts of a prompt are not known, or not all of them count as traits. The request
/// is served all the same.
fn log_ignored_parts(head: &CallerRequestHead) {
    let prompt = &head.prompt;
    if let Some(why) = &prompt.unreadable {
        log::warn!(
            "event=prompt_parts_unreadable request={} value={why}",
            head.id
        );
    }
    if prompt.ids.len() > MAX_PARTS + 1 {
        log::info!(
            "event=prompt_parts_ignored request={} parts={} counted={MAX_PARTS}",
            head.id,
            prompt.ids.len()
        );
    }
}

/// Waits for the first release if the router has just started: a lease takes a round
/// trip, or an election.
async fn await_first_release(shared: &RouterShared, head: &CallerRequestHead) {
    let max_wait = head.wait_time.unwrap_or(FIRST_RELEASE_TIMEOUT) / PATIENCE_DIVISOR;
    let deadline = shared.clock.now() + FIRST_RELEASE_TIMEOUT.min(max_wait);
    while shared.routes.release().is_none() && shared.clock.now() < deadline {
        tokio::time::sleep(FIRST_RELEASE_POLL_INTERVAL).await;
    }
}

/// Combines the priority of the account with that of the route: the account decides
/// first, and the route among requests of equal accounts.
fn rank(account: Option<u8>, route: u8) -> u8 {
    const ROUTE_RANKS: u8 = 3;
    let account = account.unwrap_or(1);
    account
        .saturating_mul(ROUTE_RANKS)
        .saturating_add(route.min(ROUTE_RANKS - 1))
}

async fn read_body(
    body: MessageBody,
    limits: CallerLimits,
    deliveries: &Arc<Deliveries>,
) -> Result<(Bytes, HeldBytes), Failure> {
    let within = Duration::from_millis(limits.idle_ms);
    // A body that is announced as too long is not read.
    if body.size_hint().lower() > limits.body_bytes {
        return Err(Failure::TooLarge);
    }
    // Nor is one that would exceed the limit of buffered bytes.
    if deliveries.is_full(body.size_hint().lower()) {
        return Err(Failure::NoMemory);
    }
    let mut held = HeldBytes::new(deliveries, Side::Requests);
    let collecting = collect(body, limits.body_bytes as usize, &mut held);
    match tokio::time::timeout(within, collecting).await {
        Err(_) => Err(Failure::BodyLate),
        Ok(Ok(body)) => Ok((body.bytes, held)),
        Ok(Err(CollectError::TooLong)) => Err(Failure::TooLarge),
        Ok(Err(CollectError::OutOfMemory)) => Err(Failure::NoMemory),
        Ok(Err(CollectError::Broken(why))) => Err(Failure::BadRequest(why.to_string())),
    }
}

async fn run(job: Job) -> Response<RouteBody> {
    match job.route.kind {
        RouteKind::Stream { .. } => opening::run(job).await,
        RouteKind::Repeatable | RouteKind::Once => non_streaming::run(job).await,
    }
}

/// Serves the readiness check of balancers in an endless loop.
pub async fn accept_readiness_checks(listener: TcpListener, shared: Arc<RouterShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        set_tcp_options(&stream);
        let shared = shared.clone();
        let service = service_fn(move |req| {
            let res = ready(&shared, &req);
            async move { Ok::<_, Infallible>(res) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(e) = serving.await {
                log::debug!("event=balancer_connection_ended error={:?}", e.to_string());
            }
        });
    }
}

fn ready(shared: &RouterShared, req: &Request<Incoming>) -> Response<RouteBody> {
    let known =
        req.method() == Method::GET && req.uri().path() == shared.cx.dialects.callers.ready_path();
    let serving = shared.routes.serving();
    let serves = serving.is_live(shared.clock.now())
        && serving.release().is_some()
        && !shared.routes.is_draining()
        && !shared.control.is_partitioned();
    let status = match (known, serves) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut res = Response::new(full_body(""));
    *res.status_mut() = status;
    res
}
