//! Puts a fake behind HTTP/2, as the real clients speak it.

use crate::{FakePlatformList, FakeWeightStore};
use anyhow::{Context, Result};
use bytes::Bytes;
use deckwind_core::session::StepOrder;
use deckwind_net::targets::http_engine::{OPEN_HEADER, paths};
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

/// Breaks the stream in place of an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}

/// A fake that is being served.
pub struct Served {
    /// Where.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Served {
    /// Breaks all connections and stops listening, as a kill does.
    pub async fn kill(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Serves until the process ends.
    pub async fn forever(self) {
        let _ = self.task.await;
    }
}

async fn listen<F, Fut>(address: SocketAddr, handle: F) -> Result<Served>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("TCP {address} can't be bound"))?;
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
    Fut: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = told(&mut stopped) => return,
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
                () = told(&mut stopped) => {}
            }
        });
    }
}

/// Waits for a kill. A [`Served`] that is dropped without one serves on.
async fn told(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

fn status(status: StatusCode, text: String) -> Response<Body> {
    let mut res = Response::new(whole(text));
    *res.status_mut() = status;
    res
}

fn json<T: Serialize>(result: Result<T, TargetError>) -> Result<Response<Body>, Broken> {
    match result {
        Ok(value) => Ok(Response::new(whole(
            serde_json::to_vec(&value).map_err(|_| Broken)?,
        ))),
        Err(TargetError::Refused(why)) => Ok(status(StatusCode::CONFLICT, why)),
        Err(_) => Err(Broken),
    }
}

async fn read(body: Incoming) -> Result<Bytes, Broken> {
    Ok(body.collect().await.map_err(|_| Broken)?.to_bytes())
}

async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> Result<T, Broken> {
    serde_json::from_slice(&read(body).await?).map_err(|_| Broken)
}

/// Serves an engine.
pub async fn engine(address: SocketAddr, engine: Arc<dyn Engine>) -> Result<Served> {
    listen(address, move |req| handle_engine(engine.clone(), req)).await
}

async fn handle_engine(
    engine: Arc<dyn Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Broken> {
    let path = req.uri().path().to_string();
    match path.as_str() {
        paths::STAGE => open_stage(engine, req).await,
        paths::LOAD => json(engine.load().await),
        paths::EVENTS => json(engine.cache_events(read_json(req.into_body()).await?).await),
        paths::EXPORT => json(engine.export_kv(read_json(req.into_body()).await?).await),
        paths::IMPORT => json(engine.import_kv(read_json(req.into_body()).await?).await),
        paths::ORDER => json(engine.order(read_json(req.into_body()).await?).await),
        _ => Ok(status(StatusCode::NOT_FOUND, path)),
    }
}

async fn open_stage(
    engine: Arc<dyn Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Broken> {
    let head = req.headers().get(OPEN_HEADER).ok_or(Broken)?;
    let open: OpenStage = serde_json::from_slice(head.as_bytes()).map_err(|_| Broken)?;
    let stage = match engine.open(open).await {
        Ok(stage) => stage,
        Err(TargetError::Refused(why)) => return Ok(status(StatusCode::CONFLICT, why)),
        Err(_) => return Err(Broken),
    };
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(run_stage(stage, req.into_body(), tx));
    Ok(Response::new(BodyExt::boxed(StreamBody::new(
        ReceiverStream::new(rx),
    ))))
}

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, Infallible>>;

/// Answers a line for a line, until either side ends. What was taken from the
/// caller's side is closed when the caller goes away in the middle of a step.
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
pub async fn service(address: SocketAddr, service: Arc<dyn PlainService>) -> Result<Served> {
    listen(address, move |req| handle_service(service.clone(), req)).await
}

/// The service ends a call by itself; the caller's bound is the caller's.
const LONGEST_CALL: Duration = Duration::from_secs(60);

async fn handle_service(
    service: Arc<dyn PlainService>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Broken> {
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
        body: read(req.into_body()).await?.to_vec(),
        timeout: LONGEST_CALL,
    };
    match service.call(call).await {
        Ok(answer) => {
            let mut res = Response::new(whole(answer.body));
            *res.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| Broken)?;
            let value = answer.content_type.parse().map_err(|_| Broken)?;
            res.headers_mut().insert(header::CONTENT_TYPE, value);
            Ok(res)
        }
        Err(TargetError::Refused(why)) => Ok(status(StatusCode::SERVICE_UNAVAILABLE, why)),
        Err(TargetError::Rests(rest)) => {
            let mut res = status(StatusCode::SERVICE_UNAVAILABLE, String::new());
            let seconds = rest.as_secs_f64().to_string();
            let seconds = seconds.parse().map_err(|_| Broken)?;
            res.headers_mut().insert(header::RETRY_AFTER, seconds);
            Ok(res)
        }
        Err(_) => Err(Broken),
    }
}

/// Serves a platform list.
pub async fn platform(address: SocketAddr, list: FakePlatformList) -> Result<Served> {
    listen(address, move |req| {
        let list = list.clone();
        async move {
            if req.uri().path() != VMS_PATH {
                return Ok(status(StatusCode::NOT_FOUND, String::new()));
            }
            json(list.list().await)
        }
    })
    .await
}

/// Serves a weight store.
pub async fn weights(address: SocketAddr, store: FakeWeightStore) -> Result<Served> {
    listen(address, move |req| {
        let store = store.clone();
        async move {
            let range = req.headers().get(header::RANGE);
            let parts = range.and_then(|r| r.to_str().ok()).and_then(parse_range);
            let (offset, len) = parts.ok_or(Broken)?;
            let read = store.read(String::new(), String::new(), offset, len).await;
            let chunk = match read {
                Ok(chunk) => chunk,
                Err(e) => return Ok(status(StatusCode::TOO_MANY_REQUESTS, e.to_string())),
            };
            let value = format!("bytes {offset}-{}/{}", offset + len - 1, chunk.total);
            let mut res = Response::new(whole(chunk.bytes));
            *res.status_mut() = StatusCode::PARTIAL_CONTENT;
            let value = value.parse().map_err(|_| Broken)?;
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
