//! Requests to whichever control replica leads.

use crate::clock::Clock;
use crate::context::Context;
use anyhow::{Result, bail};
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlReply, ControlRequest, decode, encode};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Pause before another round when nobody leads.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one replica's answer to a renewal. Longer than a renewal is
/// held, shorter than a lease, so that another can still be asked.
pub const RENEWAL_TRY: Duration = Duration::from_millis(700);

/// Longest wait for one replica's answer to anything else, which is not held: a
/// replica that died gives no answer at all. What was asked may be sent again.
const SHORT_TRY: Duration = Duration::from_millis(200);

/// Longest wait for one replica's answer where all are asked at once: some may
/// be down, and a first lease is not held.
const RACE_TRY: Duration = Duration::from_millis(600);

/// Pause after a replica that is not up or does not lead was asked.
const RACE_PAUSE: Duration = Duration::from_millis(50);

/// Without any answer for this long a router is cut off: longer than a renewal
/// is held and one replica is waited for.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_300);

/// When something was asked for, by the router's clock.
pub type Asked = deckwind_core::time::Instant;

/// Asks one replica again and again.
struct Asker {
    peer: QuicPeer,
    clock: Clock,
    address: SocketAddr,
    request: Vec<u8>,
}

impl Asker {
    async fn ask_until_led(self) -> (Asked, ControlReply) {
        loop {
            let asked = self.clock.now();
            let answering = self.peer.request(self.address, &self.request);
            let answer = tokio::time::timeout(RACE_TRY, answering).await;
            if let Ok(Ok(bytes)) = answer
                && let Ok(reply @ ControlReply::Granted(_)) = decode(&bytes)
            {
                return (asked, reply);
            }
            tokio::time::sleep(RACE_PAUSE).await;
        }
    }
}

/// Knows the control replicas and who led last.
pub struct ControlClient {
    cx: Context,
    peer: QuicPeer,
    known: Mutex<Known>,
    /// When a replica last answered anything; the start before the first.
    heard: Mutex<Instant>,
}

/// Slots that may be asked, and whose turn it is.
struct Known {
    /// From the settings.
    seeds: Vec<u32>,
    /// As the leader told; empty before it did.
    members: Vec<u32>,
    /// Who is asked next.
    current: u32,
}

impl Known {
    /// Everybody: replicas that have gone come back at other addresses, and the
    /// settings may name the newer ones.
    fn all(&self) -> Vec<u32> {
        let mut all = self.members.clone();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all
    }
}

impl ControlClient {
    /// Of the replicas that the settings name.
    pub fn new(cx: Context, peer: QuicPeer) -> Self {
        let seeds = cx.known_slots();
        let known = Known {
            current: seeds.first().copied().unwrap_or_default(),
            seeds,
            members: Vec::new(),
        };
        Self {
            cx,
            peer,
            known: Mutex::new(known),
            heard: Mutex::new(Instant::now()),
        }
    }

    /// The leader named the replicas.
    pub fn replicas_are(&self, slots: &[u32]) {
        self.known().members = slots.to_vec();
    }

    /// Other seeds: the settings have changed.
    pub fn take_seeds(&self, slots: Vec<u32>) {
        self.known().seeds = slots;
    }

    /// Whether no replica has answered for a while: this router is cut off, and
    /// callers are better served by another one. A replica that does not lead
    /// answers too.
    pub fn is_cut_off(&self) -> bool {
        let heard = *self.heard.lock().expect("no holder panics");
        heard.elapsed() > CUT_OFF_AFTER
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("no holder panics")
    }

    /// One try at the replica that led last; moves on when it does not lead.
    pub async fn ask_once(&self, request: &[u8], within: Duration) -> Result<ControlReply> {
        let i = self.known().current;
        let address = self.cx.control_address(i)?;
        let asked = tokio::time::timeout(within, self.peer.request(address, request)).await;
        let answer = match asked {
            Ok(Ok(bytes)) => {
                *self.heard.lock().expect("no holder panics") = Instant::now();
                decode::<ControlReply>(&bytes)?
            }
            Ok(Err(e)) => {
                self.move_on(i, None);
                return Err(e);
            }
            Err(_) => {
                self.move_on(i, None);
                bail!("{address} gave no answer in {within:?}");
            }
        };
        if let ControlReply::NotLeader { leader } = answer {
            self.move_on(i, leader);
        }
        Ok(answer)
    }

    /// Asks all replicas at once until one of them leads, or the time is over.
    /// For a router without a lease, which does not know who leads: asking one
    /// after the other, each that is not up costs a time-out. The answer, and
    /// when it was asked for.
    pub async fn ask_all(&self, request: &[u8], within: Duration) -> Result<(Asked, ControlReply)> {
        let slots = self.known().all();
        let mut asking = JoinSet::new();
        for slot in slots {
            let address = self.cx.control_address(slot)?;
            let asker = Asker {
                peer: self.peer.clone(),
                clock: self.cx.clock,
                address,
                request: request.to_vec(),
            };
            asking.spawn(async move { (slot, asker.ask_until_led().await) });
        }
        let Ok(Some(Ok((slot, answered)))) = tokio::time::timeout(within, asking.join_next()).await
        else {
            bail!("no control replica led within {within:?}");
        };
        *self.heard.lock().expect("no holder panics") = Instant::now();
        self.known().current = slot;
        Ok(answered)
    }

    fn move_on(&self, from: u32, leader: Option<u32>) {
        let mut known = self.known();
        let all = known.all();
        let after = all.iter().find(|slot| **slot > from);
        let next = leader.or(after.copied()).or(all.first().copied());
        known.current = next.unwrap_or(from);
    }

    /// Asks until a leader answers or the time is over. The request must be one
    /// that may be sent again.
    pub async fn ask(&self, request: &ControlRequest, within: Duration) -> Result<ControlReply> {
        let request = encode(request);
        let tries = async {
            loop {
                match self.ask_once(&request, SHORT_TRY).await {
                    Ok(ControlReply::NotLeader { .. } | ControlReply::Unknown) | Err(_) => {
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
