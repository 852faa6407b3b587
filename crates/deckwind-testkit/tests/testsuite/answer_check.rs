//! The check of answers from the caller's side, which the soak and the test at size use.

use deckwind_fakes::{ConnectionEnd, CutAnswer, CutPlace, StreamFraming, whole_stream};
use deckwind_testkit::answer_check::{
    AnswerEnd, AnswerError, AnswerState, ReceivedBody, check_body,
};
use yare::parameterized;

const CLOSED: ConnectionEnd = ConnectionEnd::Close;
const RESET: ConnectionEnd = ConnectionEnd::Reset;
const UNFRAMED: StreamFraming = StreamFraming::Connection;
const CHUNKED: StreamFraming = StreamFraming::Chunked;

fn first_events(count: usize) -> usize {
    let stream = whole_stream();
    let events = stream.split_inclusive("\n\n").take(count);
    events.map(str::len).sum()
}

fn check(
    length: usize,
    end: AnswerEnd,
    cut: Option<(StreamFraming, CutPlace, ConnectionEnd)>,
) -> Result<AnswerState, AnswerError> {
    let expected = whole_stream();
    let received = ReceivedBody {
        bytes: expected[..length].to_string().into(),
        end,
    };
    let cut = cut.map(|(framing, place, connection)| CutAnswer {
        request: "r".to_string(),
        framing,
        place,
        connection,
    });
    check_body(expected.as_bytes(), &received, cut.as_slice())
}

/// Guards against a check that excuses a complete-looking answer for a cut at another place,
/// of another framing or by a reset, all of which a router can tell from the end.
#[parameterized(
    no_cut = { first_events(3), None, false },
    inside_an_event = { first_events(3) + 2, Some((UNFRAMED, CutPlace::Visible, CLOSED)), false },
    after_this_event = { first_events(3), Some((UNFRAMED, CutPlace::AfterEvent(3), CLOSED)), true },
    after_another_event = { first_events(3), Some((UNFRAMED, CutPlace::AfterEvent(4), CLOSED)), false },
    bytes_after_that_event = { first_events(3) + 2, Some((UNFRAMED, CutPlace::AfterEvent(3), CLOSED)), false },
    reset = { first_events(3), Some((UNFRAMED, CutPlace::AfterEvent(3), RESET)), false },
    chunked = { first_events(3), Some((CHUNKED, CutPlace::AfterEvent(3), CLOSED)), false },
    after_this_byte = { 9, Some((UNFRAMED, CutPlace::AfterByte(9), CLOSED)), true },
    after_another_byte = { 9, Some((UNFRAMED, CutPlace::AfterByte(8), CLOSED)), false },
)]
fn an_early_end_is_excused_only_where_the_target_cut_it_unseen(
    length: usize,
    cut: Option<(StreamFraming, CutPlace, ConnectionEnd)>,
    is_excused: bool,
) {
    let checked = check(length, AnswerEnd::Complete, cut);
    match is_excused {
        true => assert_eq!(checked, Ok(AnswerState::CutUnseen)),
        false => assert!(matches!(checked, Err(AnswerError::EndMissing { .. }))),
    }
}

/// Guards against a check that sees only one half: an answer must also look complete if its
/// last byte came.
#[parameterized(
    complete = { AnswerEnd::Complete, Ok(AnswerState::Whole) },
    broken = { AnswerEnd::Broken, Err(AnswerError::BrokenAfterEnd) },
    given_up = { AnswerEnd::GivenUp, Ok(AnswerState::Unfinished) },
)]
fn an_answer_whose_last_byte_came_is_complete(
    end: AnswerEnd,
    expected: Result<AnswerState, AnswerError>,
) {
    assert_eq!(check(whole_stream().len(), end, None), expected);
    assert_eq!(
        check(first_events(2) + 1, AnswerEnd::Broken, None),
        Ok(AnswerState::Unfinished)
    );
}

/// Guards against pieces that are missing, come twice or are joined from two runs.
#[parameterized(
    twice = { &[1, 2, 2] },
    missing = { &[1, 3] },
    out_of_order = { &[2, 1] },
)]
fn events_come_once_and_in_order(events: &[usize]) {
    let stream = whole_stream();
    let all: Vec<&str> = stream.split_inclusive("\n\n").collect();
    let body: String = events.iter().map(|e| all[e - 1]).collect();
    for end in [AnswerEnd::Complete, AnswerEnd::Broken, AnswerEnd::GivenUp] {
        let bytes = body.clone().into();
        let checked = check_body(stream.as_bytes(), &ReceivedBody { bytes, end }, &[]);
        assert!(matches!(checked, Err(AnswerError::OtherBytes { .. })));
    }
}
