//! Problems found in a settings file, with their location and a suggested correction.

use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The settings file.
    pub file: PathBuf,
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Path of the key, separated by dots; empty for the file itself.
    pub key: String,
    /// Description of the problem and a suggested correction.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file.display(), self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All problems found in a file; at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
