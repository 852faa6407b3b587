//! Runs of requests by template, and whether their targets end under them.
//!
//! Configured targets announce no lives, so a router finds out by itself: a target that
//! broke a run off and whose port then refuses connections has ended. What follows is
//! as for published routes (`deckwind_core::routes::CutRuns`): three ends under one
//! content, and no router sends it.

use super::routes::CutRun;
use super::shared::RouterShared;
use deckwind_core::state::{ContentDigest, Life};
use deckwind_core::time::Instant;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest wait for a connection to a target that broke a run off: a refusal takes a
/// round trip. One that says nothing may be there.
const LOOK_WITHIN: Duration = Duration::from_millis(200);

/// Until the second look: a request that broke off is sent again so much later.
const LOOK_AGAIN: Duration = Duration::from_millis(30);

/// Addresses whose ends are counted: more than there are configured targets.
const MOST: usize = 4_096;

/// Ends of configured targets, as this router has seen them.
#[derive(Default)]
pub struct TemplateLives {
    ended: Mutex<HashMap<SocketAddr, u64>>,
}

impl TemplateLives {
    /// Ends at an address so far: they number its lives.
    fn ended(&self, address: SocketAddr) -> u64 {
        let ended = self.ended.lock().expect("no holder panics");
        ended.get(&address).copied().unwrap_or(0)
    }

    /// The life with this number is over. Many runs may tell of one end.
    fn end(&self, address: SocketAddr, number: u64) {
        let mut ended = self.ended.lock().expect("no holder panics");
        if ended.len() >= MOST && !ended.contains_key(&address) {
            log::warn!("event=ends_of_targets_forgotten addresses={}", ended.len());
            ended.clear();
        }
        let count = ended.entry(address).or_default();
        *count = (*count).max(number + 1);
    }
}

/// A run at one target, from just before the request is sent.
pub struct TemplateRun {
    shared: Arc<RouterShared>,
    content: ContentDigest,
    address: SocketAddr,
    number: u64,
    progressed: Option<Instant>,
}

impl TemplateRun {
    /// The request is about to be sent there.
    pub fn begin(shared: &Arc<RouterShared>, content: ContentDigest, address: SocketAddr) -> Self {
        Self {
            shared: shared.clone(),
            content,
            address,
            number: shared.template_lives.ended(address),
            progressed: None,
        }
    }

    /// Something of the answer has come.
    pub fn progressed(&mut self) {
        if self.progressed.is_none() {
            self.progressed = Some(self.shared.clock.now());
        }
    }

    /// The life that runs it, by a name of this router's own.
    fn life(&self) -> Life {
        let holder = self.shared.holder();
        Life {
            id: format!("{} by {}/{}", self.address, holder.vm, holder.boot),
            born: Some(self.number),
        }
    }

    /// The answer broke off: looks whether the target has ended, before the request is
    /// sent to another one.
    pub async fn broke(&self) {
        let gone = has_gone(self.address).await;
        let life = self.life();
        metrics::counter!("deckwind_route_runs_cut_total", "how" => "broke").increment(1);
        log::info!(
            "event=run_cut content={} target={} life={life} how=broke gone={gone}",
            self.content,
            self.address
        );
        if !gone {
            return;
        }
        let now = self.shared.clock.now();
        let cut = CutRun {
            content: self.content,
            address: self.address,
            life: &life,
            ran: self.progressed.map(|at| now.since(at)),
            // The leader knows nothing of configured targets that it could ask.
            broke: false,
        };
        let suspects = &self.shared.routes.suspects;
        suspects.cut(now, &cut);
        self.shared.template_lives.end(self.address, self.number);
        suspects.lives_over(now, vec![life]);
    }

    /// The target has served it, and is there.
    pub fn served(&self) {
        let now = self.shared.clock.now();
        self.shared.routes.suspects.served(now, self.content);
    }
}

/// Whether nobody listens any more. Looked at twice: a process that ends may close its
/// connections before its port.
async fn has_gone(address: SocketAddr) -> bool {
    if refuses_connections(address).await {
        return true;
    }
    tokio::time::sleep(LOOK_AGAIN).await;
    refuses_connections(address).await
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(LOOK_WITHIN, TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
