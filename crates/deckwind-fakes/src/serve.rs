//! HTTP/2 servers for the fakes, with the protocol that the real clients use.

use crate::{FakePlatformList, FakeWeightStore};
use anyhow::{Context, Result};
use bytes::Bytes;
use deckwind_core::session::StepOrder;
use deckwind_net::targets::http_engine::{OPEN_STAGE_HEADER, paths};
use deckwind_net::targets::http_platform::VMS_PATH;
use deckwind_net::targets::http_service::IDEMPOTENCY_KEY;
use deckwind_net::targets::{
    Engine, OpenStage, PlainService, PlatformList, ServiceCall, StageStream, TargetError,
    WeightStore,
};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;

type Body = BoxBody<Bytes, Infallible>;

/// Handler error: makes hyper reset the HTTP/2 stream instead of answering.
#[derive(Debug)]
struct StreamReset;

impl std::fmt::Display for StreamReset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream reset by the fake")
    }
}

impl std::error::Error for StreamReset {}

/// A running server of a fake.
///
/// The server keeps running after this value is dropped; only [`Served::kill`] stops it.
pub struct Served {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Served {
    /// Stops listening and breaks all connections, as killing the process would.
    pub async fn kill(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Serves until the process ends.
    pub async fn serve_forever(self) {
        let _ = self.task.await;
    }
}

async fn listen<F, Fut>(address: SocketAddr, handle: F) -> Result<Served>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, StreamReset>> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to bind TCP address {address}"))?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_all(listener, stopped, handle));
    Ok(Served {
        address,
        stop,
        task,
    })
}

async fn accept_all<F, Fut>(listener: TcpListener, mut stopped: watch::Receiver<bool>, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, StreamReset>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = wait_for_kill(&mut stopped) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            let service = service_fn(handle);
            let connection = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                .max_concurrent_streams(10_000)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                () = wait_for_kill(&mut stopped) => {}
            }
        });
    }
}

/// Waits for [`Served::kill`]. Never returns if the [`Served`] is dropped first.
async fn wait_for_kill(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut res = Response::new(full_body(text));
    *res.status_mut() = status;
    res
}

fn json_response<T: Serialize>(
    result: Result<T, TargetError>,
) -> Result<Response<Body>, StreamReset> {
    match result {
        Ok(value) => Ok(Response::new(full_body(
            serde_json::to_vec(&value).map_err(|_| StreamReset)?,
        ))),
        Err(TargetError::Refused(reason)) => Ok(text_response(StatusCode::CONFLICT, reason)),
        Err(_) => Err(StreamReset),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, StreamReset> {
    Ok(body.collect().await.map_err(|_| StreamReset)?.to_bytes())
}

async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> Result<T, StreamReset> {
    serde_json::from_slice(&read_body(body).await?).map_err(|_| StreamReset)
}

/// Serves an engine.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn engine(address: SocketAddr, engine: Arc<dyn Engine>) -> Result<Served> {
    listen(address, move |req| handle_engine(engine.clone(), req)).await
}

async fn handle_engine(
    engine: Arc<dyn Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, StreamReset> {
    let path = req.uri().path().to_string();
    match path.as_str() {
        paths::STAGE => open_stage(engine, req).await,
        paths::LOAD => json_response(engine.load().await),
        paths::EVENTS => {
            json_response(engine.cache_events(read_json(req.into_body()).await?).await)
        }
        paths::EXPORT => json_response(engine.export_kv(read_json(req.into_body()).await?).await),
        paths::IMPORT => json_response(engine.import_kv(read_json(req.into_body()).await?).await),
        paths::ORDER => json_response(engine.order(read_json(req.into_body()).await?).await),
        _ => Ok(text_response(StatusCode::NOT_FOUND, path)),
    }
}

async fn open_stage(
    engine: Arc<dyn Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, StreamReset> {
    let head = req.headers().get(OPEN_STAGE_HEADER).ok_or(StreamReset)?;
    let open: OpenStage = serde_json::from_slice(head.as_bytes()).map_err(|_| StreamReset)?;
    let stage = match engine.open(open).await {
        Ok(stage) => stage,
        Err(TargetError::Refused(reason)) => {
            return Ok(text_response(StatusCode::CONFLICT, reason));
        }
        Err(_) => return Err(StreamReset),
    };
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(run_stage(stage, req.into_body(), tx));
    Ok(Response::new(BodyExt::boxed(StreamBody::new(
        ReceiverStream::new(rx),
    ))))
}

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, Infallible>>;

/// Answers each step order (one JSON line) with one line, until either side closes
/// the stream.
///
/// If the caller disconnects during a step, the step is aborted and the stage is
/// dropped, which closes it.
async fn run_stage(mut stage: Box<dyn StageStream>, mut body: Incoming, tx: FrameSender) {
    let mut buf: Vec<u8> = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&data);
        while let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            let Ok(order) = serde_json::from_slice::<StepOrder>(&line) else {
                return;
            };
            let answered = tokio::select! {
                answered = answer_step(stage.as_mut(), order, &tx) => answered,
                _ = tx.closed() => false,
            };
            if !answered {
                return;
            }
        }
    }
    stage.close().await;
}

async fn answer_step(stage: &mut dyn StageStream, order: StepOrder, tx: &FrameSender) -> bool {
    let Ok(output) = stage.step(order).await else {
        return false;
    };
    let Ok(mut line) = serde_json::to_vec(&output) else {
        return false;
    };
    line.push(b'\n');
    tx.send(Ok(Frame::data(Bytes::from(line)))).await.is_ok()
}

/// Serves a plain service.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn service(address: SocketAddr, service: Arc<dyn PlainService>) -> Result<Served> {
    listen(address, move |req| handle_service(service.clone(), req)).await
}

/// Timeout that the service itself applies to a call. The caller's timeout isn't
/// known here and is enforced by the caller.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);

async fn handle_service(
    service: Arc<dyn PlainService>,
    req: Request<Incoming>,
) -> Result<Response<Body>, StreamReset> {
    let text = |name: &str| {
        let value = req.headers().get(name);
        value.and_then(|v| v.to_str().ok()).map(str::to_string)
    };
    let content_type = text(header::CONTENT_TYPE.as_str()).unwrap_or_default();
    let idempotency_key = text(IDEMPOTENCY_KEY);
    let path = req.uri().path().to_string();
    let call = ServiceCall {
        path,
        content_type,
        idempotency_key,
        body: read_body(req.into_body()).await?.to_vec(),
        timeout: MAX_CALL_TIME,
    };
    match service.call(call).await {
        Ok(answer) => {
            let mut res = Response::new(full_body(answer.body));
            *res.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| StreamReset)?;
            let value = answer.content_type.parse().map_err(|_| StreamReset)?;
            res.headers_mut().insert(header::CONTENT_TYPE, value);
            Ok(res)
        }
        Err(TargetError::Refused(reason)) => {
            Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, reason))
        }
        Err(TargetError::Rests(rest)) => {
            let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
            let seconds = rest.as_secs_f64().to_string();
            let seconds = seconds.parse().map_err(|_| StreamReset)?;
            res.headers_mut().insert(header::RETRY_AFTER, seconds);
            Ok(res)
        }
        Err(_) => Err(StreamReset),
    }
}

/// Serves a platform list.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn platform(address: SocketAddr, list: FakePlatformList) -> Result<Served> {
    listen(address, move |req| {
        let list = list.clone();
        async move {
            if req.uri().path() != VMS_PATH {
                return Ok(text_response(StatusCode::NOT_FOUND, String::new()));
            }
            json_response(list.list().await)
        }
    })
    .await
}

/// Serves a weight store.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn weights(address: SocketAddr, store: FakeWeightStore) -> Result<Served> {
    listen(address, move |req| {
        let store = store.clone();
        async move {
            let range = req.headers().get(header::RANGE);
            let range = range.and_then(|r| r.to_str().ok()).and_then(parse_range);
            let (offset, len) = range.ok_or(StreamReset)?;
            let result = store.read(String::new(), String::new(), offset, len).await;
            let chunk = match result {
                Ok(chunk) => chunk,
                Err(e) => return Ok(text_response(StatusCode::TOO_MANY_REQUESTS, e.to_string())),
            };
            let value = format!("bytes {offset}-{}/{}", offset + len - 1, chunk.total);
            let mut res = Response::new(full_body(chunk.bytes));
            *res.status_mut() = StatusCode::PARTIAL_CONTENT;
            let value = value.parse().map_err(|_| StreamReset)?;
            res.headers_mut().insert(header::CONTENT_RANGE, value);
            Ok(res)
        }
    })
    .await
}

fn parse_range(text: &str) -> Option<(u64, u64)> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let first: u64 = first.parse().ok()?;
    let last: u64 = last.parse().ok()?;
    Some((first, last.checked_sub(first)? + 1))
}
