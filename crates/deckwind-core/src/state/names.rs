//! Names and numbers that identify objects.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name {
    ($(#[$doc:meta])* $t:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $t(String);

        impl $t {
            /// The name as text.
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

name!(
    /// A template: one per workload, written by operators.
    TemplateName
);
name!(
    /// A client account.
    AccountName
);
name!(
    /// A target: a model engine or a plain service.
    TargetName
);
name!(
    /// A VM that runs one of our processes.
    VmName
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// An operator's request id: a resend carries the same one.
    RequestId
);

/// A revision of the configuration; each accepted change takes the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Before the first change.
    pub const ZERO: Revision = Revision(0);

    /// Above every revision.
    pub const MAX: Revision = Revision(u64::MAX);

    /// The revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
