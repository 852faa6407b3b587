//! Rules of the specification of the ends of streams, which routers follow, and bounds of
//! its exploration.

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEndRules {
    /// An end that only the connection marks is told apart from one that the framing marks.
    pub name_what_marks_the_end: bool,
    /// A stream that ends inside an event has been broken off.
    pub ask_for_open_event: bool,
    /// A reset, or an end before the framing says so, is no end of a body.
    pub reset_is_break: bool,
    /// A target that is silent until the caller's wait is over has not ended its stream.
    pub silence_is_no_end: bool,
    /// A break that is not resumed breaks the caller's answer off.
    pub break_off_visibly: bool,
    /// Only whole events are passed on.
    pub pass_whole_events: bool,
    /// Events that the caller has are not passed on again.
    pub skip_seen_events: bool,
    /// A stream resumes after the last event that was passed on.
    pub resume_after_last_event: bool,
    /// Only streams that may be resumed are.
    pub resume_only_resumable: bool,
    /// A break is resumed while tries are left.
    pub resume_while_tries_left: bool,
    /// A run that broke does not count as served.
    pub broken_is_not_served: bool,
}

impl StreamEndRules {
    /// Enables all rules.
    pub const ALL: StreamEndRules = StreamEndRules {
        name_what_marks_the_end: true,
        ask_for_open_event: true,
        reset_is_break: true,
        silence_is_no_end: true,
        break_off_visibly: true,
        pass_whole_events: true,
        skip_seen_events: true,
        resume_after_last_event: true,
        resume_only_resumable: true,
        resume_while_tries_left: true,
        broken_is_not_served: true,
    };
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEndBounds {
    /// Number of events of the stream.
    pub events: u8,
    /// Maximum number of targets that serve it in turn.
    pub tries: u8,
}
