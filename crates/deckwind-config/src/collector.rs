//! Collection of findings, and conversion of byte offsets to lines and columns.

use crate::finding::Finding;
use std::collections::BTreeMap;
use std::path::Path;

/// Collects the findings of one file.
pub struct Collector<'a> {
    file: &'a Path,
    text: &'a str,
    /// Byte offset of each key's value, by the path of the key.
    value_offsets: BTreeMap<String, usize>,
    findings: Vec<Finding>,
}

impl<'a> Collector<'a> {
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        Self {
            file,
            text,
            value_offsets: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    /// Records the byte offset of a key's value.
    pub fn record_offset(&mut self, key: &str, offset: usize) {
        self.value_offsets.insert(key.to_string(), offset);
    }

    /// Adds a finding at a byte offset.
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
        let offset = self.value_offsets.get(key).copied().unwrap_or(0);
        self.add(offset, key, message);
    }

    /// Returns whether there are no findings so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings, in the order of the file.
    pub fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|f| (f.line, f.column));
        self.findings
    }
}
