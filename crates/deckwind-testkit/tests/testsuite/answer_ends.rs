//! Ends of answers: an answer that was broken off never looks complete to its caller.

use crate::rig::{API_KEY, CallerAnswer, Rig};
use crate::routes::placed;
use crate::run_async;
use deckwind_fakes::{ConnectionEnd, FakeTargetFault, StreamEnding, StreamFraming, whole_stream};
use deckwind_testkit::eventually_async;
use http::StatusCode;
use std::ops::Range;
use yare::parameterized;

/// Number of events at every byte of which streams are broken off.
const EVENTS_CUT: usize = 3;

/// Returns a fault that ends streams in this way.
pub fn ends(
    framing: StreamFraming,
    broken_after: Option<usize>,
    connection: ConnectionEnd,
) -> FakeTargetFault {
    FakeTargetFault::EndsStream(StreamEnding {
        framing,
        broken_after,
        connection,
    })
}

/// Asks for a stream. A router that has no lease, because the machine was busy, did not run the
/// request and is asked again.
async fn ask(rig: &Rig, id: &str, path: &str) -> CallerAnswer {
    eventually_async("the router has a lease", || async {
        let answer = rig.ask(id, path, API_KEY, true).await;
        let has_no_lease = answer.status == StatusCode::SERVICE_UNAVAILABLE
            && answer.body.as_deref() == Ok("cut-off\n");
        (!has_no_lease).then_some(answer)
    })
    .await
}

/// Returns the positions of a stream at which one of its first events is open.
fn positions_inside_events() -> Vec<usize> {
    let stream = whole_stream();
    let mut start = 0;
    let mut inside = Vec::new();
    for event in stream.split_inclusive("\n\n").take(EVENTS_CUT) {
        let positions: Range<usize> = start + 1..start + event.len();
        inside.extend(positions);
        start += event.len();
    }
    inside
}

/// Asserts that an answer looks complete exactly if it is, and that its events are the first
/// ones of the stream, each once.
fn assert_honest(answer: &CallerAnswer, at: usize) {
    if let Ok(body) = &answer.body {
        assert_eq!(
            *body,
            whole_stream(),
            "cut at {at}: complete, but not whole"
        );
    }
}

/// Guards against a target that crashes inside an event of a stream without a length or
/// chunks: the end of its connection was taken for the end of the stream.
#[test]
fn a_stream_that_ends_with_its_connection_inside_an_event_is_broken_off() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        for at in positions_inside_events() {
            let fault = ends(StreamFraming::Connection, Some(at), ConnectionEnd::Close);
            rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
            let id = format!("r{at}");
            let answer = ask(&rig, &id, &format!("/tell/{at}")).await;
            assert_honest(&answer, at);
            assert!(answer.body.is_err(), "cut at {at}: must not look complete");
            assert_eq!(rig.send_count(&id), 1, "it can't be resumed");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against the same end where the stream can be resumed: it was not, and the caller
/// got the bytes of the open event as the last ones.
#[test]
fn a_stream_that_ends_with_its_connection_inside_an_event_is_resumed_after_the_last_whole_one() {
    run_async(async {
        let rig = placed().await;
        rig.wait_until_served("/stream/x", true).await;
        let whole = ends(StreamFraming::Connection, None, ConnectionEnd::Close);
        for at in positions_inside_events() {
            let fault = ends(StreamFraming::Connection, Some(at), ConnectionEnd::Close);
            for (i, engine) in rig.engines.iter().enumerate() {
                engine.set_fault(match i % 2 {
                    0 => fault.clone(),
                    _ => whole.clone(),
                });
            }
            let answer = ask(&rig, &format!("r{at}"), &format!("/stream/{at}")).await;
            assert_eq!(answer.body, Ok(whole_stream()), "cut at {at}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Returns the positions at which streams are broken off: every byte of the first events, and
/// after the last one.
fn all_positions() -> Vec<usize> {
    let stream = whole_stream();
    let events = stream.split_inclusive("\n\n").take(EVENTS_CUT);
    let cut_bytes: usize = events.map(str::len).sum();
    (0..=cut_bytes).chain([stream.len()]).collect()
}

fn is_between_events(at: usize) -> bool {
    at > 0 && whole_stream()[..at].ends_with("\n\n")
}

/// Returns the events of a stream that is taken as whole although it was broken off: nothing
/// but its connection marks the end, which was closed between two events.
fn events_before_close(ending: StreamEnding) -> Option<String> {
    let at = ending.broken_after.expect("it is broken off");
    let is_taken_as_whole = ending.framing == StreamFraming::Connection
        && ending.connection == ConnectionEnd::Close
        && is_between_events(at);
    is_taken_as_whole.then(|| whole_stream()[..at].to_string())
}

/// Returns a fault for each position at which a stream is broken off, for streams that are sent
/// at once and byte by byte.
fn all_breaks(
    framing: StreamFraming,
    connection: ConnectionEnd,
) -> impl Iterator<Item = (StreamEnding, FakeTargetFault)> {
    all_positions().into_iter().flat_map(move |at| {
        let ending = StreamEnding {
            framing,
            broken_after: Some(at),
            connection,
        };
        [
            (ending, FakeTargetFault::EndsStream(ending)),
            (ending, FakeTargetFault::EndsStreamBytewise(ending)),
        ]
    })
}

/// Guards against any way in which a stream that breaks off looks complete where it can't be
/// resumed.
#[parameterized(
    chunks_closed = { StreamFraming::Chunked, ConnectionEnd::Close },
    chunks_reset = { StreamFraming::Chunked, ConnectionEnd::Reset },
    connection_closed = { StreamFraming::Connection, ConnectionEnd::Close },
    connection_reset = { StreamFraming::Connection, ConnectionEnd::Reset },
)]
fn a_stream_looks_complete_only_if_it_is(framing: StreamFraming, connection: ConnectionEnd) {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        for (i, (ending, fault)) in all_breaks(framing, connection).enumerate() {
            rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
            let answer = ask(&rig, &format!("r{i}"), &format!("/tell/{i}")).await;
            let is_success = answer.status.is_success();
            let complete = answer.body.ok().filter(|_| is_success);
            assert_eq!(complete, events_before_close(ending), "{fault:?}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a break after which a stream is not resumed, or resumed at another event
/// than the next one.
#[parameterized(
    chunks_closed = { StreamFraming::Chunked, ConnectionEnd::Close },
    chunks_reset = { StreamFraming::Chunked, ConnectionEnd::Reset },
    connection_closed = { StreamFraming::Connection, ConnectionEnd::Close },
    connection_reset = { StreamFraming::Connection, ConnectionEnd::Reset },
)]
fn a_stream_that_breaks_off_is_resumed(framing: StreamFraming, connection: ConnectionEnd) {
    run_async(async {
        let rig = placed().await;
        rig.wait_until_served("/stream/x", true).await;
        let whole = ends(StreamFraming::Chunked, None, ConnectionEnd::Close);
        for (i, (ending, fault)) in all_breaks(framing, connection).enumerate() {
            for (engine, server) in rig.engines.iter().enumerate() {
                server.set_fault(match engine % 2 {
                    0 => fault.clone(),
                    _ => whole.clone(),
                });
            }
            let answer = ask(&rig, &format!("r{i}"), &format!("/stream/{i}")).await;
            let expected = [Some(whole_stream()), events_before_close(ending)];
            let is_resumed = answer.body.is_ok() && expected.contains(&answer.body.clone().ok());
            assert!(is_resumed, "{fault:?}: {:?}", answer.body);
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a target that goes silent: what it sent until then looks complete when the
/// wait is over.
#[parameterized(
    chunks_inside = { "tell", StreamFraming::Chunked, 1 },
    chunks_between = { "tell", StreamFraming::Chunked, 0 },
    connection_inside = { "tell", StreamFraming::Connection, 1 },
    connection_between = { "tell", StreamFraming::Connection, 0 },
    resumable_chunks_inside = { "stream", StreamFraming::Chunked, 1 },
    resumable_connection_inside = { "stream", StreamFraming::Connection, 1 },
    resumable_connection_between = { "stream", StreamFraming::Connection, 0 },
)]
fn a_stream_that_goes_silent_never_looks_complete(
    route: &str,
    framing: StreamFraming,
    bytes_of_second_event: usize,
) {
    run_async(async {
        let rig = match route {
            "tell" => {
                let mut rig = Rig::start(2, 0).await;
                rig.wait_until_in_force().await;
                rig
            }
            _ => placed().await,
        };
        rig.wait_until_served(&format!("/{route}/x"), true).await;
        let first = whole_stream().find("\n\n").expect("an event") + 2;
        let at = first + bytes_of_second_event;
        let fault = ends(framing, Some(at), ConnectionEnd::Silence);
        rig.targets().for_each(|t| t.set_fault(fault.clone()));
        let answer = ask(&rig, "silent", &format!("/{route}/y")).await;
        assert_eq!(answer.status, 200);
        assert!(answer.body.is_err(), "{:?}", answer.body);
        rig.cluster.close().await.expect("closed");
    });
}
