//! Byte offsets to lines and columns, and the collection of findings.

use crate::finding::Finding;
use std::collections::BTreeMap;
use std::path::Path;

/// Collects findings of one file.
pub struct Collector<'a> {
    file: &'a Path,
    text: &'a str,
    /// Offset of each key's value, by its path.
    places: BTreeMap<String, usize>,
    findings: Vec<Finding>,
}

impl<'a> Collector<'a> {
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        Self {
            file,
            text,
            places: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    /// Remembers where the value of a key stands.
    pub fn place(&mut self, key: &str, offset: usize) {
        self.places.insert(key.to_string(), offset);
    }

    /// Adds a finding at an offset.
    pub fn add(&mut self, offset: usize, key: &str, message: impl Into<String>) {
        let before = &self.text[..offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        self.findings.push(Finding {
            file: self.file.to_path_buf(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            key: key.to_string(),
            message: message.into(),
        });
    }

    /// Adds a finding at the value of a key.
    pub fn add_at_key(&mut self, key: &str, message: impl Into<String>) {
        let offset = self.places.get(key).copied().unwrap_or(0);
        self.add(offset, key, message);
    }

    /// Whether nothing was found so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings, in the order of the file.
    pub fn finish(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|f| (f.line, f.column));
        self.findings
    }
}
