//! Requests to the control replicas, one of which passes them on to the leader.

use crate::context::Context;
use anyhow::{Result, bail};
use deckwind_core::membership::ReplicaChoice;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlReply, ControlRequest, decode, encode};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::JoinSet;

/// Pause before another round when nobody leads.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one replica's answer to a renewal. Longer than a renewal is
/// held, shorter than a lease, so that another can still be asked.
pub const RENEWAL_TRY: Duration = Duration::from_millis(700);

/// Longest wait for one replica's answer to anything else, which is not held: a
/// replica that died gives no answer at all. What was asked may be sent again.
const SHORT_TRY: Duration = Duration::from_millis(200);

/// Searches for the leader that run side by side while there is no lease: one
/// that waits for a replica that is down holds nothing up. More cost the replicas
/// too much at the moment when all start: five, each asked again 50 ms after its
/// answer, kept replicas with 0.3 of a core from serving any of 195 routers for
/// 15 s.
const SEARCHES: usize = 2;

/// Longest wait for one replica's answer in a search. A replica that knows no
/// leader holds the question for 500 ms.
const SEARCH_TRY: Duration = Duration::from_millis(600);

/// Pause after a replica did not help.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// Without any answer for this long a router is cut off: longer than a renewal
/// is held and one replica is waited for.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_300);

/// When something was asked for, by the router's clock.
pub type Asked = deckwind_core::time::Instant;

/// Looks for the leader, one replica after the other.
struct Search {
    cx: Context,
    peer: QuicPeer,
    request: Vec<u8>,
    heard: Arc<Mutex<Asked>>,
    /// Replicas in the order in which they are asked, again and again.
    slots: Vec<u32>,
}

impl Search {
    /// The slot of the leader, when it was asked, and its grant.
    async fn run(self) -> (u32, Asked, ControlReply) {
        let mut turn = self.slots.iter().copied().cycle();
        let mut slot = turn.next().unwrap_or_default();
        let mut was_named = false;
        let mut held = false;
        loop {
            let asked = self.cx.clock.now();
            match self.ask(slot).await {
                Some(reply @ ControlReply::Granted(_)) => return (slot, asked, reply),
                // Whoever leads is asked at once, but not along a chain of
                // replicas that know it no better.
                Some(ControlReply::NotLeader { leader: Some(l) }) if !was_named => {
                    slot = l;
                    was_named = true;
                    continue;
                }
                Some(ControlReply::AskAgain) => {}
                // It is up, and has held the question for as long as it may. Not
                // again and again: it may be cut off.
                Some(ControlReply::NotLeader { leader: None }) if !held => held = true,
                _ => {
                    slot = turn.next().unwrap_or_default();
                    held = false;
                }
            }
            was_named = false;
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }

    async fn ask(&self, slot: u32) -> Option<ControlReply> {
        let address = self.cx.control_address(slot).ok()?;
        let answering = self.peer.request(address, &self.request);
        let answer = tokio::time::timeout(SEARCH_TRY, answering)
            .await
            .ok()?
            .ok()?;
        *self.heard.lock().expect("no holder panics") = self.cx.clock.now();
        decode(&answer).ok()
    }
}

/// Knows the control replicas, and which of them is asked.
pub struct ControlClient {
    cx: Context,
    peer: QuicPeer,
    choice: Mutex<ReplicaChoice>,
    /// When a replica last answered anything; the start before the first.
    heard: Arc<Mutex<Asked>>,
}

impl ControlClient {
    /// Of the replicas that the settings name.
    pub fn new(cx: Context, peer: QuicPeer) -> Self {
        let choice = ReplicaChoice::new(cx.settings.vm.clone(), cx.known_slots());
        Self {
            heard: Arc::new(Mutex::new(cx.clock.now())),
            cx,
            peer,
            choice: Mutex::new(choice),
        }
    }

    /// The leader named the replicas.
    pub fn replicas_are(&self, slots: &[u32]) {
        self.choice().members_are(slots);
    }

    /// Other seeds: the settings have changed.
    pub fn take_seeds(&self, slots: Vec<u32>) {
        self.choice().seeds_are(slots);
    }

    /// Whether no replica has answered for a while: this router is cut off, and
    /// callers are better served by another one. A replica that does not lead
    /// answers too.
    pub fn is_cut_off(&self) -> bool {
        let heard = *self.heard.lock().expect("no holder panics");
        self.cx.clock.now().since(heard) > CUT_OFF_AFTER
    }

    fn choice(&self) -> MutexGuard<'_, ReplicaChoice> {
        self.choice.lock().expect("no holder panics")
    }

    /// One try at the replica whose turn it is; another one's is next when it can't
    /// help.
    pub async fn ask_once(&self, request: &[u8], within: Duration) -> Result<ControlReply> {
        let now = self.cx.clock.now();
        let Some(slot) = self.choice().next(now) else {
            bail!("no control replica is known");
        };
        let address = self.cx.control_address(slot)?;
        let asked = tokio::time::timeout(within, self.peer.request(address, request)).await;
        let now = self.cx.clock.now();
        let answer = match asked {
            Ok(Ok(bytes)) => {
                *self.heard.lock().expect("no holder panics") = now;
                decode::<ControlReply>(&bytes)?
            }
            Ok(Err(e)) => {
                self.choice().failed(now, slot);
                return Err(e);
            }
            Err(_) => {
                match within < RENEWAL_TRY {
                    true => self.choice().was_slow(now, slot),
                    false => self.choice().failed(now, slot),
                }
                bail!("{address} gave no answer in {within:?}");
            }
        };
        if let ControlReply::NotLeader { leader } = answer {
            self.choice().not_passed_on(now, slot, leader);
            return Ok(answer);
        }
        self.choice().answered(slot);
        self.peer.keep_only(address);
        Ok(answer)
    }

    /// Looks for the leader until it answers, or the time is over: for a router
    /// without a lease, which does not know who leads. Each router asks in an
    /// order of its own, so that all of them together load the replicas alike.
    /// The answer, and when it was asked for.
    pub async fn find_leader(
        &self,
        request: &[u8],
        within: Duration,
    ) -> Result<(Asked, ControlReply)> {
        let mut slots = self.choice().order();
        let mut searches = JoinSet::new();
        for _ in 0..SEARCHES {
            let search = Search {
                cx: self.cx.clone(),
                peer: self.peer.clone(),
                request: request.to_vec(),
                heard: self.heard.clone(),
                slots: slots.clone(),
            };
            searches.spawn(search.run());
            slots.rotate_left(1);
        }
        let found = tokio::time::timeout(within, searches.join_next()).await;
        let Ok(Some(Ok((slot, asked, reply)))) = found else {
            bail!("no control replica led within {within:?}");
        };
        self.choice().answered(slot);
        Ok((asked, reply))
    }

    /// Asks until a leader answers or the time is over. The request must be one
    /// that may be sent again.
    pub async fn ask(&self, request: &ControlRequest, within: Duration) -> Result<ControlReply> {
        let request = encode(request);
        let tries = async {
            loop {
                match self.ask_once(&request, SHORT_TRY).await {
                    Ok(
                        ControlReply::NotLeader { .. }
                        | ControlReply::AskAgain
                        | ControlReply::Unknown,
                    )
                    | Err(_) => {
                        tokio::time::sleep(PAUSE).await;
                    }
                    Ok(reply) => return reply,
                }
            }
        };
        match tokio::time::timeout(within, tries).await {
            Ok(reply) => Ok(reply),
            Err(_) => bail!("no control replica led within {within:?}"),
        }
    }
}
