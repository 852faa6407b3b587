//! Connections of callers: how many are open, and which new ones are read.

use super::shared::RouterShared;
use deckwind_core::admission::{ConnectionGate, GateDecision, LAG_INTERVAL};
use deckwind_net::descriptor_limit;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Counts the connections of callers, and decides which new ones are read.
pub struct CallerConnections {
    gate: Mutex<ConnectionGate>,
    open: AtomicUsize,
    closed_unread: AtomicUsize,
}

/// An open connection of a caller, counted until it is dropped.
pub struct OpenConnection(Arc<CallerConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerConnections {
    /// Creates the counter of a process that may open this number of file descriptors, or as
    /// many as its limit says.
    pub fn new(file_descriptors: Option<usize>) -> Self {
        let descriptors = file_descriptors.unwrap_or_else(descriptor_limit);
        log::info!("event=caller_connections_bound descriptors={descriptors}");
        Self {
            gate: Mutex::new(ConnectionGate::new(descriptors)),
            open: AtomicUsize::new(0),
            closed_unread: AtomicUsize::new(0),
        }
    }

    fn gate(&self) -> MutexGuard<'_, ConnectionGate> {
        self.gate.lock().expect("no holder panics")
    }

    /// Counts a new connection if it is to be read. Otherwise it must be closed at once, so
    /// that its caller tries another router.
    pub fn accept(self: &Arc<Self>) -> Option<OpenConnection> {
        let why = match self.gate().decide(self.open.load(Ordering::Relaxed)) {
            GateDecision::Read => {
                self.open.fetch_add(1, Ordering::Relaxed);
                return Some(OpenConnection(self.clone()));
            }
            GateDecision::CloseOverloaded => "overloaded",
            GateDecision::CloseFull => "full",
        };
        metrics::counter!("deckwind_route_connections_closed_unread_total", "why" => why)
            .increment(1);
        log::debug!("event=connection_closed_unread why={why}");
        self.closed_unread.fetch_add(1, Ordering::Relaxed);
        None
    }

    /// Returns the number of connections that were closed unread so far.
    pub fn closed_unread(&self) -> usize {
        self.closed_unread.load(Ordering::Relaxed)
    }

    /// Whether connections should be closed after their next answer.
    pub fn closes_after_answer(&self) -> bool {
        let open = self.open.load(Ordering::Relaxed);
        self.gate().closes_after_answer(open)
    }
}

/// Measures in an endless loop how late tasks run.
pub async fn watch_lag(shared: Arc<RouterShared>) {
    let mut was_overloaded = false;
    loop {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        let lag = due.elapsed();
        let connections = &shared.caller_connections;
        let mut gate = connections.gate();
        gate.record_lag(lag);
        let share = gate.share();
        drop(gate);
        let open = connections.open.load(Ordering::Relaxed);
        metrics::gauge!("deckwind_route_caller_connections").set(open as f64);
        metrics::gauge!("deckwind_route_connections_read_share").set(share);
        let is_overloaded = share < 1.0;
        if is_overloaded != was_overloaded {
            let event = match is_overloaded {
                true => "overloaded",
                false => "not_overloaded",
            };
            log::warn!("event={event} lag_ms={} open={open}", lag.as_millis());
        }
        was_overloaded = is_overloaded;
    }
}
