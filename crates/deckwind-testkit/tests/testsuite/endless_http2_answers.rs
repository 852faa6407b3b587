//! Answers of targets and of the platform over HTTP/2 that have no end: their readers hold a
//! bounded number of bytes, give up, and reset the stream.

use crate::{any_loopback_port, run_async};
use bytes::Bytes;
use deckwind_core::session::{Activation, StepOrder};
use deckwind_core::state::{LayerRange, Priority};
use deckwind_net::targets::{
    Engine, HttpEngine, HttpPlatformList, HttpService, HttpWeightStore, OpenStage, PlainService,
    PlatformList, ServiceCall, TargetError, WeightStore,
};
use deckwind_testkit::eventually_async;
use http::{Response, header};
use hyper::body::{Body, Frame, SizeHint};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use yare::parameterized;

/// Bytes of one frame.
const FRAME_BYTES: usize = 16 * 1024;

/// Bytes after which an endless answer only waits for its reader to go: more than any reader
/// takes.
const MAX_ENDLESS_BYTES: usize = 160 << 20;

/// Maximum number of bytes that a reader may take of an endless answer.
const MAX_READ_BYTES: usize = MAX_ENDLESS_BYTES / 2;

/// Timeout for the end of a call without a timeout of its own.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// Numbers of bytes sent of the answers that were reset, and how many there were.
#[derive(Default)]
struct ResetAnswers {
    bytes: AtomicUsize,
    count: AtomicUsize,
}

/// A body without end.
struct EndlessBody {
    frame: Bytes,
    sent: usize,
    max_bytes: usize,
    resets: Arc<ResetAnswers>,
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.sent >= self.max_bytes {
            // The connection drops the body when its reader resets the stream.
            return Poll::Pending;
        }
        self.sent += self.frame.len();
        Poll::Ready(Some(Ok(Frame::data(self.frame.clone()))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

impl Drop for EndlessBody {
    fn drop(&mut self) {
        self.resets.bytes.fetch_add(self.sent, Ordering::SeqCst);
        self.resets.count.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves every request with a body of these bytes, again and again up to `max_bytes`.
async fn serve_endless(byte: u8, max_bytes: usize) -> (SocketAddr, Arc<ResetAnswers>) {
    let listener = TcpListener::bind(any_loopback_port()).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let resets = Arc::new(ResetAnswers::default());
    let counted = resets.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let resets = counted.clone();
            let service = service_fn(move |_| {
                let body = EndlessBody {
                    frame: Bytes::from(vec![byte; FRAME_BYTES]),
                    sent: 0,
                    max_bytes,
                    resets: resets.clone(),
                };
                let res = Response::builder().header(header::CONTENT_RANGE, "bytes 0-9/100");
                let res = res.body(body).expect("a response");
                async { Ok::<_, Infallible>(res) }
            });
            let connection = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    (address, resets)
}

/// Who reads an answer.
#[derive(Clone, Copy, Debug)]
enum Reader {
    PlatformList,
    LoadReport,
    CacheEvents,
    Service,
    Weights,
    Step,
}

/// Calls a target that answers without end. The client is returned too: it keeps the
/// connection open.
async fn call(reader: Reader, address: SocketAddr) -> (Result<(), TargetError>, HttpEngine) {
    let engine = HttpEngine::new(address);
    let result = match reader {
        Reader::PlatformList => HttpPlatformList::new(address).list().await.map(drop),
        Reader::LoadReport => engine.load().await.map(drop),
        Reader::CacheEvents => engine.cache_events(0).await.map(drop),
        Reader::Service => HttpService::new(address)
            .call(service_call())
            .await
            .map(drop),
        Reader::Weights => {
            let store = HttpWeightStore::new(address);
            let read = store.read("m".to_string(), "1".to_string(), 0, 10);
            read.await.map(drop)
        }
        Reader::Step => {
            let mut stage = engine.open(open_request()).await.expect("a stage");
            stage.step(step_order()).await.map(drop)
        }
    };
    (result, engine)
}

fn service_call() -> ServiceCall {
    ServiceCall {
        path: "/x".to_string(),
        body: Vec::new(),
        content_type: "text/plain".to_string(),
        idempotency_key: None,
        timeout: END_TIMEOUT,
    }
}

fn open_request() -> OpenStage {
    OpenStage {
        session: "s".to_string(),
        layers: LayerRange::new(0, 8),
        adapter: None,
        priority: Priority::Roster,
        prefixes: Vec::new(),
    }
}

fn step_order() -> StepOrder {
    StepOrder {
        attempt: 1,
        position: 0,
        inputs: vec![Activation("a".to_string())],
        replay: false,
    }
}

/// Guards against a reader that holds all bytes of an answer without end, which uses up the
/// memory of its VM, or takes more than the part that it asked for.
#[parameterized(
    platform_list = { Reader::PlatformList },
    load_report = { Reader::LoadReport },
    cache_events = { Reader::CacheEvents },
    service = { Reader::Service },
    weights = { Reader::Weights },
    step = { Reader::Step },
)]
fn an_answer_without_end_is_given_up(reader: Reader) {
    run_async(async move {
        let (address, resets) = serve_endless(b'[', MAX_ENDLESS_BYTES).await;
        let called = tokio::time::timeout(END_TIMEOUT, call(reader, address)).await;
        let (result, _engine) = called.expect("the call ends");
        assert!(matches!(result, Err(TargetError::Broken(_))), "{result:?}");
        eventually_async("the stream is reset", || async {
            (resets.count.load(Ordering::SeqCst) == 1).then_some(())
        })
        .await;
        let sent = resets.bytes.load(Ordering::SeqCst);
        assert!(sent < MAX_READ_BYTES, "{sent} bytes were sent");
    });
}

/// Maximum time until a stage is closed whose engine does not end its answer.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(10);

/// Guards against a session that never ends because an engine doesn't end its answer, whether
/// it is silent or goes on sending.
#[parameterized(silent = { 1 }, without_end = { MAX_ENDLESS_BYTES })]
fn a_stage_is_closed_although_its_engine_does_not_end_it(max_bytes: usize) {
    run_async(async move {
        let (address, resets) = serve_endless(b'\n', max_bytes).await;
        let engine = HttpEngine::new(address);
        let stage = engine.open(open_request()).await.expect("a stage");
        let closing = tokio::time::timeout(MAX_CLOSE_TIME, stage.close()).await;
        closing.expect("the stage is closed");
        eventually_async("the stream is reset", || async {
            (resets.count.load(Ordering::SeqCst) == 1).then_some(())
        })
        .await;
    });
}
