//! What is wrong, where, and what to write instead.

use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file.
    pub file: PathBuf,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// Key, as a path with dots; empty for the file itself.
    pub key: String,
    /// What is wrong and what to write instead.
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

/// All that is wrong with a file; at least one.
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
