//! What targets were sent again, against what all routers together may send again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The bound on what is sent again.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBound {
    /// Share of the requests.
    pub share: f64,
    /// Repeats beyond it.
    pub beyond: f64,
    /// The window.
    pub window: Duration,
}

/// A request as its target saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id: one try of a caller.
    pub request: String,
    /// Where.
    pub address: SocketAddr,
    /// When.
    pub at: Instant,
    /// Whether it was run there.
    pub ran: bool,
}

/// The window in which most of the bound was used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullestWindow {
    /// Its end, after the first request.
    pub until: Duration,
    /// Arrivals in it past the first of each request.
    pub repeats: usize,
    /// Requests that earn them.
    pub requests: usize,
    /// What the bound allows for these.
    pub allowed: f64,
}

impl FullestWindow {
    /// Part of the bound that was used; above 1 it is broken.
    pub fn used(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}

/// Finds the fullest window of one pool. `asked` are the times of callers' requests for
/// it, in their order; they count in whichever has most of the window, the one before it
/// and the one half a window before it.
pub fn fullest_window(
    bound: &RepeatBound,
    asked: &[Instant],
    sent: &[Sent],
) -> Option<FullestWindow> {
    let first = *asked.first()?;
    let repeats = repeats(sent);
    let windows = repeats.iter().enumerate().map(|(i, until)| {
        let from = *until - bound.window;
        let before = repeats[..=i].iter().rev();
        let count = before.take_while(|at| **at > from).count();
        let requests = [0, 1, 2].map(|halves| {
            let back = bound.window / 2 * halves;
            count_within(asked, from - back, *until - back)
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        FullestWindow {
            until: until.saturating_duration_since(first),
            repeats: count,
            requests,
            allowed: bound.share * requests as f64 + bound.beyond,
        }
    });
    windows.max_by(|a, b| a.used().total_cmp(&b.used()))
}

/// When requests came that had come before, in order.
fn repeats(sent: &[Sent]) -> Vec<Instant> {
    let mut sent: Vec<&Sent> = sent.iter().collect();
    sent.sort_by_key(|s| s.at);
    let mut known = HashSet::new();
    let again = sent.iter().filter(|s| !known.insert(&s.request));
    again.map(|s| s.at).collect()
}

fn count_within(times: &[Instant], after: Instant, until: Instant) -> usize {
    let upto = |limit: Instant| times.partition_point(|at| *at <= limit);
    upto(until) - upto(after)
}

/// Requests that ran at more than `most` targets, but for those that were down between
/// the request's first arrival and its last.
pub fn beyond_attempts(
    most: usize,
    sent: &[Sent],
    outages: &[(SocketAddr, Instant)],
) -> BTreeMap<String, usize> {
    let mut by_request: HashMap<&str, Vec<&Sent>> = HashMap::new();
    for one in sent.iter().filter(|s| s.ran) {
        by_request.entry(&one.request).or_default().push(one);
    }
    let runs = by_request.into_iter().map(|(request, runs)| {
        let last = runs.iter().map(|r| r.at).max();
        let was_down = |run: &&Sent| {
            let mut all = outages.iter();
            all.any(|(a, at)| *a == run.address && *at >= run.at && Some(*at) <= last)
        };
        let stayed = runs.iter().filter(|r| !was_down(r));
        let targets: HashSet<SocketAddr> = stayed.map(|r| r.address).collect();
        (request.to_string(), targets.len())
    });
    runs.filter(|(_, targets)| *targets > most).collect()
}

/// Arrivals past the first of each request for which none of these lines of routers says
/// that a repeat was paid.
pub fn unpaid(sent: &[Sent], paid: &[String]) -> usize {
    let mut left: HashMap<&str, usize> = HashMap::new();
    for line in paid {
        let mut words = line.split(' ');
        if let Some(request) = words.find_map(|w| w.strip_prefix("request=")) {
            *left.entry(request).or_default() += 1;
        }
    }
    let mut known = HashSet::new();
    let again = sent.iter().filter(|s| !known.insert(&s.request));
    let unpaid = again.filter(|s| match left.get_mut(s.request.as_str()) {
        Some(paid) if *paid > 0 => {
            *paid -= 1;
            false
        }
        _ => true,
    });
    unpaid.count()
}
