//! Limit of the process's file descriptors.

use nix::sys::resource::{Resource, getrlimit};

/// Number of file descriptors that is assumed if the limit can't be read: the usual soft limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Largest limit that is used. A higher one is no limit.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// Returns the number of file descriptors that the process may open.
pub fn descriptor_limit() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).map_or(MAX_DESCRIPTORS, |n| n.min(MAX_DESCRIPTORS)),
        Err(e) => {
            log::warn!("event=descriptor_limit_unknown error={e:?}");
            DEFAULT_DESCRIPTORS
        }
    }
}
