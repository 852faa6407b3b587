//! Why what a target says of itself isn't taken.

use std::fmt;

/// What is wrong with an announcement, or with a leave. Whoever wrote it, it
/// names no target to use, and ends none that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnnouncementFault {
    /// It is longer than any target's.
    TooLong,
    /// Its bytes can't be read.
    Unreadable,
    /// It can be read, but is no object.
    NotAnObject,
    /// A field is missing.
    FieldMissing,
    /// A field is of another type, or out of its range.
    FieldType,
    /// A state that isn't known.
    UnknownState,
    /// It names no target.
    NoId,
    /// It would change or end a target that holds, for a pool that no release
    /// names.
    UnknownPool,
}

impl AnnouncementFault {
    /// One word for logs and counts.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLong => "too-long",
            Self::Unreadable => "unreadable",
            Self::NotAnObject => "not-an-object",
            Self::FieldMissing => "field-missing",
            Self::FieldType => "field-type",
            Self::UnknownState => "unknown-state",
            Self::NoId => "no-id",
            Self::UnknownPool => "unknown-pool",
        }
    }
}

impl fmt::Display for AnnouncementFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
