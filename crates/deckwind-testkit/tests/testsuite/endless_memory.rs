//! Many targets at once that send bytes which are no answer: what one router holds of all of
//! them together is bounded, and the requests of other clients are served meanwhile.

use crate::rig::{API_KEY, CallerAnswer, Rig, send_call};
use crate::run_async;
use bytes::Bytes;
use deckwind_fakes::{
    FakeCall, FakeTargetFault, FakeTargetServer, RawAnswer, USUAL_TOKENS, whole_stream,
};
use deckwind_net::body::{NoReservation, collect};
use deckwind_net::clock::Clock;
use deckwind_net::targets::{ConnectionPool, ReceiveBudget, TcpConnector};
use deckwind_testkit::{Layout, eventually_async};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

/// Memory setting of a router with little memory.
const LOW_MEMORY_MB: f64 = 1.0;

/// Maximum number of bytes that such a router may hold of all answers together.
const MAX_HELD_BYTES: u64 = 6 << 20;

/// Number of requests that are sent at once to targets that send no answer.
const REQUESTS: usize = 150;

/// Bytes of one answer: far fewer than end a single one, so that reading all of them leaves
/// time for the other requests.
const ANSWER_BYTES: usize = 100 * 1024;

/// Bytes of one head: fewer than the longest one that is read.
const HEAD_BYTES: usize = 60 * 1024;

/// Returns an answer that begins like this, and stays open once it has this size.
fn unfinished(beginning: &str, repeated: &str, bytes: usize) -> FakeTargetFault {
    let own = "X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Response-Seal: s\r\n";
    let chunks = format!("HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    let beginning = beginning.replace("{chunks}", &chunks).replace("{own}", own);
    let text = beginning + &repeated.repeat(bytes / repeated.len());
    FakeTargetFault::Writes(RawAnswer {
        text,
        connection: None,
    })
}

/// Sends one of the requests whose answers are none.
async fn ask_unfinished(router: SocketAddr, i: usize, route: &str, is_stream: bool) -> bool {
    let (id, path) = (format!("r{i}"), format!("{route}{i}"));
    let call = FakeCall {
        tokens: is_stream.then_some(USUAL_TOKENS),
        ..FakeCall::new(&id, &path, API_KEY)
    };
    let answer = send_call(router, &call).await;
    // A connection that is closed unread is an end, too.
    answer.is_ok_and(|a| a.status.is_success() && a.body.is_ok())
}

/// Whether another client's stream is served whole. One that the router doesn't take because
/// it has lost its lease says nothing.
fn is_served(answer: &CallerAnswer) -> Option<bool> {
    let body = answer.body.clone().unwrap_or_default();
    if answer.status == StatusCode::SERVICE_UNAVAILABLE && body.contains("no-lease") {
        return None;
    }
    Some(answer.status == StatusCode::OK && answer.body == Ok(whole_stream()))
}

/// Guards against a router whose memory is used up by many answers without end, each of them
/// within the bounds of a single one, or whose other clients are refused for them.
#[parameterized(
    plain_head = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}X-A: ", "x", HEAD_BYTES },
    plain_fields = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}", "X-A: 123456789012345678901234567890123456789012345678901234567890\r\n", HEAD_BYTES },
    plain_body = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}\r\n", "x", ANSWER_BYTES },
    plain_body_in_chunks = { "/once/", false, "{chunks}", "10\r\nxxxxxxxxxxxxxxxx\r\n", ANSWER_BYTES },
    repeatable_body = { "/safe/", false, "HTTP/1.1 200 OK\r\n{own}\r\n", "x", ANSWER_BYTES },
    stream_event = { "/tell/", true, "HTTP/1.1 200 OK\r\n{own}\r\ndata: ", "x", ANSWER_BYTES },
    stream_event_in_chunks = { "/tell/", true, "{chunks}", "10\r\ndata: xxxxxxxxx\n\r\n", ANSWER_BYTES },
    stream_error = { "/tell/", true, "HTTP/1.1 500 Internal Server Error\r\n{own}\r\n", "x", ANSWER_BYTES },
)]
fn answers_without_end_hold_a_bounded_number_of_bytes_together(
    route: &str,
    is_stream: bool,
    beginning: &str,
    repeated: &str,
    bytes: usize,
) {
    let fault = unfinished(beginning, repeated, bytes);
    let route = route.to_string();
    run_async(async move {
        let mut layout = Layout::new(1, 1).expect("a layout");
        layout.memory_mb = Some(LOW_MEMORY_MB);
        let mut rig = Rig::start_placed(layout, 2, 4).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/stream/x", true).await;
        rig.wait_until_served(&format!("{route}x"), is_stream).await;
        rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
        let router = rig.cluster.layout.routers[0].routes;
        let ended = Arc::new(AtomicUsize::new(0));
        let asking: Vec<_> = (0..REQUESTS)
            .map(|i| {
                let (route, ended) = (route.clone(), ended.clone());
                tokio::spawn(async move {
                    let looks_whole = ask_unfinished(router, i, &route, is_stream).await;
                    ended.fetch_add(1, Ordering::SeqCst);
                    looks_whole
                })
            })
            .collect();
        let (mut served, mut not_served) = (0, Vec::new());
        while ended.load(Ordering::SeqCst) < REQUESTS {
            let id = format!("other{served}-{}", not_served.len());
            let answer = rig.ask(&id, "/stream/y", API_KEY, true).await;
            match is_served(&answer) {
                Some(true) => served += 1,
                Some(false) => not_served.push((answer.status, answer.body)),
                None => {}
            }
        }
        for request in asking {
            assert!(!request.await.expect("no panic"), "an answer looks whole");
        }
        let peak = rig.cluster.router_links(0).peak_received();
        assert!(not_served.is_empty(), "{not_served:?}, {served} served");
        assert!(served > 0, "no stream of another client was served");
        assert!(peak <= MAX_HELD_BYTES, "{peak} bytes were held");
        // What is ended is not counted for ever.
        rig.plain
            .iter()
            .for_each(|p| p.set_fault(FakeTargetFault::None));
        eventually_async("the targets serve again", || async {
            let answer = rig
                .ask("after", &format!("{route}x"), API_KEY, is_stream)
                .await;
            (answer.status == StatusCode::OK && answer.body.is_ok()).then_some(())
        })
        .await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Limit on the bytes of all answers in the tests of connections alone.
const BUDGET_BYTES: u64 = 1 << 20;

/// Size of an answer that is whole, and of one that is not.
const WHOLE_BYTES: usize = 200 * 1024;
const UNFINISHED_BYTES: usize = 400 * 1024;

/// Number of answers that are not finished.
const UNFINISHED_ANSWERS: usize = 20;

/// Maximum size of the answers that are read, bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Asks a target, and returns the size of its answer.
async fn collect_answer(pool: &ConnectionPool, target: SocketAddr) -> Result<usize, String> {
    let connection = pool.get(target, Duration::ZERO).await;
    let mut connection = connection.map_err(|e| e.to_string())?;
    let req = Request::get("/x").body(Full::new(Bytes::new()));
    let sent = connection.send(req.expect("a request")).await;
    let (head, body) = sent.map_err(|e| e.to_string())?;
    let collected = collect(body, MAX_ANSWER_BYTES, &mut NoReservation).await;
    let collected = collected.map_err(|e| e.to_string())?;
    pool.return_connection(connection, &head.headers, collected.end, 1);
    Ok(collected.bytes.len())
}

/// Guards against a whole answer that fails because other answers fill the memory: of all
/// answers the largest one is ended. And against bytes that count for ever, though their answer
/// is over. What the library reads and drops takes no memory, and may or may not be ended.
#[parameterized(
    bodies = { "HTTP/1.1 200 OK\r\n\r\n", "x", true },
    bodies_with_a_length = { "HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n", "x", true },
    bodies_in_chunks = { "{chunks}", "400\r\n{kilobyte}\r\n", true },
    interim_answers = { "", "HTTP/1.1 103 Early Hints\r\n\r\n", false },
    spaces = { "{chunks}5", " ", false },
    chunk_sizes = { "{chunks}", "0", false },
)]
fn the_largest_answers_are_ended_and_smaller_ones_are_read_whole(
    beginning: &str,
    repeated: &str,
    is_held: bool,
) {
    let repeated = repeated.replace("{kilobyte}", &"x".repeat(1_024));
    let fault = unfinished(beginning, &repeated, UNFINISHED_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {WHOLE_BYTES}\r\n\r\n");
    let whole = FakeTargetFault::Writes(RawAnswer {
        text: head + &"x".repeat(WHOLE_BYTES),
        connection: None,
    });
    run_async(async move {
        let faulty = FakeTargetServer::start("faulty").await.expect("a target");
        faulty.set_fault(fault);
        let sound = FakeTargetServer::start("sound").await.expect("a target");
        sound.set_fault(whole);
        let budget = ReceiveBudget::new(BUDGET_BYTES);
        let connector = Arc::new(TcpConnector);
        let pool = ConnectionPool::with_budget(Clock::start(), connector, budget.clone());
        let unfinished: Vec<_> = (0..UNFINISHED_ANSWERS)
            .map(|_| {
                let (pool, target) = (pool.clone(), faulty.address);
                tokio::spawn(async move { collect_answer(&pool, target).await })
            })
            .collect();
        let open = || unfinished.iter().filter(|u| !u.is_finished()).count();
        eventually_async("all answers have begun", || async {
            (faulty.run_request_ids().len() == UNFINISHED_ANSWERS).then_some(())
        })
        .await;
        if is_held {
            // Those that are left fit: they wait for the rest of their answers.
            eventually_async("the largest answers are ended", || async {
                (open() * UNFINISHED_BYTES <= BUDGET_BYTES as usize).then_some(())
            })
            .await;
        }
        for _ in 0..UNFINISHED_ANSWERS {
            let answer = collect_answer(&pool, sound.address).await;
            assert_eq!(answer, Ok(WHOLE_BYTES));
            let held = budget.held_bytes();
            assert!(held <= BUDGET_BYTES, "{held} bytes are held");
        }
        for request in unfinished {
            request.abort();
            if let Ok(answer) = request.await {
                assert!(answer.is_err(), "an answer looks whole: {answer:?}");
            }
        }
        eventually_async("nothing is held any more", || async {
            (budget.held_bytes() == 0).then_some(())
        })
        .await;
    });
}
