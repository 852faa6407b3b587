//! Requests to whichever control replica leads.

use anyhow::{Result, bail};
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlReply, ControlRequest, decode, encode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Pause before another round when nobody leads.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one replica's answer to a renewal. Longer than a renewal is
/// held, shorter than a lease, so that another can still be asked.
pub const RENEWAL_TRY: Duration = Duration::from_millis(700);

/// Longest wait for one replica's answer to anything else, which is not held: a
/// replica that died gives no answer at all. What was asked may be sent again.
const SHORT_TRY: Duration = Duration::from_millis(200);

/// Knows the control replicas and who led last.
pub struct ControlClient {
    peer: QuicPeer,
    replicas: Vec<(u8, SocketAddr)>,
    current: AtomicUsize,
}

impl ControlClient {
    /// Of the replicas at these slots.
    pub fn new(peer: QuicPeer, replicas: Vec<(u8, SocketAddr)>) -> Self {
        Self {
            peer,
            replicas,
            current: AtomicUsize::new(0),
        }
    }

    /// One try at the replica that led last; moves on when it does not lead.
    pub async fn ask_once(&self, request: &[u8], within: Duration) -> Result<ControlReply> {
        let i = self.current.load(Ordering::Relaxed) % self.replicas.len();
        let (_, address) = self.replicas[i];
        let asked = tokio::time::timeout(within, self.peer.request(address, request)).await;
        let answer = match asked {
            Ok(Ok(bytes)) => decode::<ControlReply>(&bytes)?,
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

    fn move_on(&self, from: usize, leader: Option<u8>) {
        let named = leader.and_then(|slot| self.replicas.iter().position(|(s, _)| *s == slot));
        let next = named.unwrap_or((from + 1) % self.replicas.len());
        self.current.store(next, Ordering::Relaxed);
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
