//! Ends of answers: an answer that was broken off never looks complete to its caller.

use crate::rig::{API_KEY, CallerAnswer, Rig};
use crate::routes::placed;
use crate::run_async;
use deckwind_fakes::{ConnectionEnd, FakeTargetFault, StreamEnding, StreamFraming, whole_stream};
use std::ops::Range;

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
            let answer = rig.ask(&id, &format!("/tell/{at}"), API_KEY, true).await;
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
            let answer = rig
                .ask(&format!("r{at}"), &format!("/stream/{at}"), API_KEY, true)
                .await;
            assert_eq!(answer.body, Ok(whole_stream()), "cut at {at}");
        }
        rig.cluster.close().await.expect("closed");
    });
}
