//! Whole-cluster tests, one file a feature.

mod processes;
mod replication;
