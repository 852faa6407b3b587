//! Compares the retries that targets received with the retry budget of all routers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Retry budget of a pool over all routers.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Share of the requests that may be retried.
    pub share: f64,
    /// Number of retries beyond that share.
    pub beyond: f64,
    /// Window that the budget applies to.
    pub window: Duration,
}

/// A request as received by a target.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request id; each attempt of a caller has its own.
    pub request: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Time of arrival.
    pub at: Instant,
    /// Whether the target ran the request.
    pub ran: bool,
}

/// The window in which the largest part of the retry budget was used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeakWindow {
    /// End of the window, relative to the first request.
    pub until: Duration,
    /// Number of arrivals in the window after the first one of their request.
    pub repeats: usize,
    /// Number of requests that count towards the budget.
    pub requests: usize,
    /// Number of retries that the budget allows.
    pub allowed: f64,
}

impl PeakWindow {
    /// Returns the part of the budget that was used; above 1 it was exceeded.
    pub fn used(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}

/// Finds the window of one pool that used most of the retry budget. `sent_at` holds the
/// times of callers' requests for the pool in ascending order. The requests that count
/// towards a window's budget are the largest number of those in the window itself, in the
/// window before it and in the one half a window earlier.
pub fn peak_window(
    budget: &RetryBudget,
    sent_at: &[Instant],
    received: &[ReceivedRequest],
) -> Option<PeakWindow> {
    let first = *sent_at.first()?;
    let retries = retry_times(received);
    let windows = retries.iter().enumerate().map(|(i, until)| {
        let from = *until - budget.window;
        let before = retries[..=i].iter().rev();
        let count = before.take_while(|at| **at > from).count();
        let requests = [0, 1, 2].map(|halves| {
            let back = budget.window / 2 * halves;
            count_within(sent_at, from - back, *until - back)
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        PeakWindow {
            until: until.saturating_duration_since(first),
            repeats: count,
            requests,
            allowed: budget.share * requests as f64 + budget.beyond,
        }
    });
    windows.max_by(|a, b| a.used().total_cmp(&b.used()))
}

/// Returns the times of arrivals after the first one of their request, in ascending
/// order.
fn retry_times(received: &[ReceivedRequest]) -> Vec<Instant> {
    let mut received: Vec<&ReceivedRequest> = received.iter().collect();
    received.sort_by_key(|s| s.at);
    let mut seen = HashSet::new();
    let repeated = received.iter().filter(|s| !seen.insert(&s.request));
    repeated.map(|s| s.at).collect()
}

fn count_within(times: &[Instant], after: Instant, until: Instant) -> usize {
    let count_until = |limit: Instant| times.partition_point(|at| *at <= limit);
    count_until(until) - count_until(after)
}

/// Returns the requests that ran at more than `max_targets` targets, with the number of
/// these. A run at a target that went down between it and the request's last run isn't
/// counted.
pub fn beyond_attempts(
    max_targets: usize,
    received: &[ReceivedRequest],
    outages: &[(SocketAddr, Instant)],
) -> BTreeMap<String, usize> {
    let mut by_request: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
    for run in received.iter().filter(|s| s.ran) {
        by_request.entry(&run.request).or_default().push(run);
    }
    let runs = by_request.into_iter().map(|(request, runs)| {
        let last = runs.iter().map(|r| r.at).max();
        let was_down = |run: &&ReceivedRequest| {
            let mut all = outages.iter();
            all.any(|(a, at)| *a == run.address && *at >= run.at && Some(*at) <= last)
        };
        let stayed = runs.iter().filter(|r| !was_down(r));
        let targets: HashSet<SocketAddr> = stayed.map(|r| r.address).collect();
        (request.to_string(), targets.len())
    });
    runs.filter(|(_, targets)| *targets > max_targets).collect()
}

/// Returns the number of arrivals after the first one of their request that no paid retry
/// in the routers' log lines `paid` accounts for.
pub fn uncharged_retries(received: &[ReceivedRequest], paid: &[String]) -> usize {
    let mut paid_by_request: HashMap<&str, usize> = HashMap::new();
    for line in paid {
        let mut words = line.split(' ');
        if let Some(request) = words.find_map(|w| w.strip_prefix("request=")) {
            *paid_by_request.entry(request).or_default() += 1;
        }
    }
    let mut seen = HashSet::new();
    let repeated = received.iter().filter(|s| !seen.insert(&s.request));
    let uncharged_retries =
        repeated.filter(|s| match paid_by_request.get_mut(s.request.as_str()) {
            Some(paid) if *paid > 0 => {
                *paid -= 1;
                false
            }
            _ => true,
        });
    uncharged_retries.count()
}
