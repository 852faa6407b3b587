//! What targets say of themselves in their answers, whatever they answer.

use std::time::Duration;

/// What the head of an answer says of the target that wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// It wants no request of this VM for so long.
    pub rest: Option<Duration>,
    /// What should have told the rest, and can't be read.
    pub unreadable_rest: Option<String>,
    /// It is about to end, and takes nothing new.
    pub leaves: bool,
}
