//! Client of the control replicas, which forward requests to their leader.

use crate::context::Context;
use anyhow::{Result, bail};
use deckwind_core::backoff::{Backoff, BackoffLimits};
use deckwind_core::membership::ReplicaChoice;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlReply, ControlRequest, decode, encode};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::JoinSet;

/// Pauses before a request is sent again after a replica failed to answer or found no leader.
/// Replicas refuse a request at once while they know no leader. The longest pause is that of an
/// election: it is what a request may wait in vain once a leader is back.
const REQUEST_BACKOFF: BackoffLimits = BackoffLimits {
    first: Duration::from_millis(50),
    factor: 2,
    max: Duration::from_millis(400),
};

/// Timeout of one replica's answer to a renewal. It is longer than replicas hold a renewal
/// open, and shorter than a lease, so that another replica can still be asked.
pub const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of one replica's answer to any other request. Replicas do not hold these open,
/// and a replica that crashed gives no answer at all. Such requests can be sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of concurrent searches for the leader while there is no lease, so that waiting
/// for a replica that is down does not block the search. More searches overload the
/// replicas when all routers start at once: with five, each asking again 50 ms after an
/// answer, replicas with 0.3 of a core served none of 195 routers for 15 s.
const CONCURRENT_SEARCHES: usize = 2;

/// Timeout of one replica's answer in a search. A replica that knows no leader holds the
/// request open for 500 ms.
const SEARCH_REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay after a replica's answer that did not help the search.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time without any answer after which the router counts as partitioned from the control
/// replicas. It is longer than a renewal is held open and than the wait for one replica.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time at which a request was sent, by the clock of the router.
pub type RequestTime = deckwind_core::time::Instant;

/// Search for the leader that asks one replica after the other.
struct LeaderSearch {
    cx: Context,
    peer: QuicPeer,
    request: Vec<u8>,
    last_answer_at: Arc<Mutex<RequestTime>>,
    /// Replicas in the order in which they are asked, repeatedly.
    slots: Vec<u32>,
}

impl LeaderSearch {
    /// Returns the slot that granted the request, the time it was asked, and its reply.
    async fn run(self) -> (u32, RequestTime, ControlReply) {
        let mut next_slots = self.slots.iter().copied().cycle();
        let mut slot = next_slots.next().unwrap_or_default();
        let mut was_redirected = false;
        let mut was_held = false;
        loop {
            let asked = self.cx.clock.now();
            match self.ask_replica(slot).await {
                Some(reply @ ControlReply::Granted(_)) => return (slot, asked, reply),
                // The named leader is asked at once. A leader that it names in turn is
                // not, so that outdated replicas cannot send the search in circles.
                Some(ControlReply::NotLeader { leader: Some(l) }) if !was_redirected => {
                    slot = l;
                    was_redirected = true;
                    continue;
                }
                Some(ControlReply::AskAgain) => {}
                // The replica is up and held the request for its maximum time. It is asked
                // only once more, since it may be partitioned from the others.
                Some(ControlReply::NotLeader { leader: None }) if !was_held => was_held = true,
                _ => {
                    slot = next_slots.next().unwrap_or_default();
                    was_held = false;
                }
            }
            was_redirected = false;
            tokio::time::sleep(SEARCH_RETRY_DELAY).await;
        }
    }

    async fn ask_replica(&self, slot: u32) -> Option<ControlReply> {
        let address = self.cx.control_address(slot).ok()?;
        let answering = self.peer.request(address, &self.request);
        let answer = tokio::time::timeout(SEARCH_REQUEST_TIMEOUT, answering)
            .await
            .ok()?
            .ok()?;
        *self.last_answer_at.lock().expect("no holder panics") = self.cx.clock.now();
        decode(&answer).ok()
    }
}

/// Client that knows the control replicas and chooses which of them to ask.
pub struct ControlClient {
    cx: Context,
    peer: QuicPeer,
    choice: Mutex<ReplicaChoice>,
    /// Time of the last answer of any replica, initially the time of creation.
    last_answer_at: Arc<Mutex<RequestTime>>,
}

impl ControlClient {
    /// Creates a client of the replicas named by the settings.
    pub fn new(cx: Context, peer: QuicPeer) -> Self {
        let choice = ReplicaChoice::new(cx.settings.vm.clone(), cx.known_slots());
        Self {
            last_answer_at: Arc::new(Mutex::new(cx.clock.now())),
            cx,
            peer,
            choice: Mutex::new(choice),
        }
    }

    /// Sets the replicas as named by the leader.
    pub fn set_replicas(&self, slots: &[u32]) {
        self.choice().set_members(slots);
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, slots: Vec<u32>) {
        self.choice().set_seeds(slots);
    }

    /// Returns whether no replica has answered for a while, leader or not. This router is
    /// then partitioned from the replicas, and other routers serve callers better.
    pub fn is_partitioned(&self) -> bool {
        let last_answer_at = *self.last_answer_at.lock().expect("no holder panics");
        self.cx.clock.now().since(last_answer_at) > PARTITION_TIMEOUT
    }

    fn choice(&self) -> MutexGuard<'_, ReplicaChoice> {
        self.choice.lock().expect("no holder panics")
    }

    /// Sends a request once, to the currently preferred replica. If that replica cannot
    /// help, the next call asks another one.
    ///
    /// # Errors
    ///
    /// Fails if no replica is known, or the replica gives no readable answer in time.
    pub async fn ask_once(&self, request: &[u8], timeout: Duration) -> Result<ControlReply> {
        let now = self.cx.clock.now();
        let Some(slot) = self.choice().next(now) else {
            bail!("no control replica is known");
        };
        let address = self.cx.control_address(slot)?;
        let asked = tokio::time::timeout(timeout, self.peer.request(address, request)).await;
        let now = self.cx.clock.now();
        let answer = match asked {
            Ok(Ok(bytes)) => {
                *self.last_answer_at.lock().expect("no holder panics") = now;
                decode::<ControlReply>(&bytes)?
            }
            Ok(Err(e)) => {
                self.choice().record_failure(now, slot);
                return Err(e);
            }
            Err(_) => {
                match timeout < RENEWAL_TIMEOUT {
                    true => self.choice().record_slow(now, slot),
                    false => self.choice().record_failure(now, slot),
                }
                bail!("control replica {address} did not answer within {timeout:?}");
            }
        };
        if let ControlReply::NotLeader { leader } = answer {
            self.choice().record_not_forwarded(now, slot, leader);
            return Ok(answer);
        }
        self.choice().record_success(slot);
        self.peer.close_others(address);
        Ok(answer)
    }

    /// Searches for the leader until it answers or the time limit is reached. Used by a
    /// router without a lease, which does not know the leader. Each router asks the
    /// replicas in its own order, which spreads the load of all routers evenly. Returns the
    /// time at which the request was sent, and the reply.
    ///
    /// # Errors
    ///
    /// Fails if no replica grants the request in time.
    pub async fn find_leader(
        &self,
        request: &[u8],
        timeout: Duration,
    ) -> Result<(RequestTime, ControlReply)> {
        let mut slots = self.choice().preference_order();
        let mut searches = JoinSet::new();
        for _ in 0..CONCURRENT_SEARCHES {
            let search = LeaderSearch {
                cx: self.cx.clone(),
                peer: self.peer.clone(),
                request: request.to_vec(),
                last_answer_at: self.last_answer_at.clone(),
                slots: slots.clone(),
            };
            searches.spawn(search.run());
            slots.rotate_left(1);
        }
        let found = tokio::time::timeout(timeout, searches.join_next()).await;
        let Ok(Some(Ok((slot, asked, reply)))) = found else {
            bail!("no control replica answered as the leader within {timeout:?}");
        };
        self.choice().record_success(slot);
        Ok((asked, reply))
    }

    /// Sends a request until the leader answers or the time limit is reached. The request
    /// must be safe to send more than once.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers in time.
    pub async fn ask(&self, request: &ControlRequest, timeout: Duration) -> Result<ControlReply> {
        let request = encode(request);
        let mut backoff = Backoff::new(REQUEST_BACKOFF, rand::random());
        let attempts = async {
            loop {
                match self.ask_once(&request, REQUEST_TIMEOUT).await {
                    Ok(
                        ControlReply::NotLeader { .. }
                        | ControlReply::AskAgain
                        | ControlReply::Unknown,
                    )
                    | Err(_) => {
                        tokio::time::sleep(backoff.next_pause()).await;
                    }
                    Ok(reply) => return reply,
                }
            }
        };
        match tokio::time::timeout(timeout, attempts).await {
            Ok(reply) => Ok(reply),
            Err(_) => bail!("no control replica answered as the leader within {timeout:?}"),
        }
    }
}
