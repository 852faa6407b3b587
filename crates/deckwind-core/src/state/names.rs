//! Types for names and revision numbers of objects.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! string_newtype {
    ($(#[$doc:meta])* $t:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $t(String);

        impl $t {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $t {
            fn from(s: &str) -> Self {
                Self(s.to_string())
            }
        }

        impl From<String> for $t {
            fn from(s: String) -> Self {
                Self(s)
            }
        }

        impl fmt::Display for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_newtype!(
    /// Name of a template. There is one per workload, written by operators.
    TemplateName
);
string_newtype!(
    /// Name of a client account.
    AccountName
);
string_newtype!(
    /// Name of a target: a model engine or a plain service.
    TargetName
);
string_newtype!(
    /// Name of a VM that runs a Deckwind process.
    VmName
);
string_newtype!(
    /// Name of a data centre.
    DataCentre
);
string_newtype!(
    /// Id of an operator's request. A resend carries the same id.
    RequestId
);

/// Revision of the configuration, incremented by each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision before the first change.
    pub const ZERO: Revision = Revision(0);

    /// Upper bound of all revisions.
    pub const MAX: Revision = Revision(u64::MAX);

    /// Returns the next revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
