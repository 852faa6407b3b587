//! Reasons for rejecting an announcement of a target.

use std::fmt;

/// Reason for rejecting an announcement or a leave request. A rejected message neither
/// adds a target nor ends a registered one, whoever sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnnouncementFault {
    /// Longer than an announcement of any target can be.
    TooLong,
    /// Bytes that cannot be decoded.
    Unreadable,
    /// Valid encoding, but not an object.
    NotAnObject,
    /// Missing field.
    FieldMissing,
    /// Field of the wrong type or out of range.
    FieldType,
    /// Unknown state.
    UnknownState,
    /// Missing id of the target.
    NoId,
    /// Change or end of a registered target, for a pool that no release names.
    UnknownPool,
}

impl AnnouncementFault {
    /// Returns a short label for logs and metrics.
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
