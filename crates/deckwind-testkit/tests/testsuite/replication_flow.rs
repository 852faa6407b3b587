//! The volume that a leader sends to a follower that reconnects far behind, with entries of
//! its own that were never committed.

use deckwind_core::replication::{
    Action, Body, ClusterId, Entry, Event, HardState, Index, Members, Message, Payload, Position,
    Replica, ReplicaConfig, ReplicaId, Role, SnapshotMeta, Stored, Term,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bytes per entry: the size of a release with a hundred routes.
const ENTRY_BYTES: usize = 36_000;

/// Entries in the leader's log.
const LEADER_ENTRIES: u64 = 160;
/// Entries that the lagging follower shares with the leader.
const SHARED_ENTRIES: u64 = 90;
/// Uncommitted entries that only the lagging follower has.
const UNCOMMITTED_ENTRIES: u64 = 8;

/// Heartbeats that were queued for the lagging follower while it was partitioned.
const QUEUED_HEARTBEATS: u64 = 80;

/// Link capacity in bytes per millisecond: 170 Mbit/s.
const BYTES_PER_MS: u64 = 21_000;

const TICK_INTERVAL_MS: u64 = 10;

fn id(slot: u32) -> ReplicaId {
    ReplicaId {
        slot,
        identity: 100 + u64::from(slot),
    }
}

fn stored(entries: u64, term_after_shared: u64) -> Stored {
    let members = Members {
        voters: (0..3).map(id).collect(),
        learners: BTreeSet::new(),
    };
    let entry = |i| Entry {
        at: Position {
            term: Term(if i > SHARED_ENTRIES {
                term_after_shared
            } else {
                1
            }),
            index: Index(i),
        },
        payload: match i {
            1 => Payload::Members(members.clone()),
            _ => Payload::Command(vec![0; ENTRY_BYTES]),
        },
    };
    Stored {
        hard_state: HardState {
            term: Term(term_after_shared),
            voted_for: None,
            cluster: Some(ClusterId(7)),
        },
        snapshot: SnapshotMeta::default(),
        entries: (1..=entries).map(entry).collect(),
    }
}

fn bytes(message: &Message) -> u64 {
    match &message.body {
        Body::Append { entries, .. } => entries.iter().map(|e| e.size() as u64).sum::<u64>() + 60,
        _ => 60,
    }
}

struct SimulatedNet {
    replicas: Vec<Replica>,
    /// Messages in transit, by time of arrival in milliseconds and a sequence number that
    /// keeps the keys unique.
    in_transit: BTreeMap<(u64, u64), Message>,
    link_free_ms: u64,
    next_sequence: u64,
    sent_to_lagging: u64,
    /// Messages queued for the lagging follower while it is partitioned.
    queued: Option<Vec<Message>>,
}

impl SimulatedNet {
    fn new() -> Self {
        let replica = |slot: u32, entries, term| {
            let cfg = ReplicaConfig::new(id(slot), 0..3, u64::from(slot) + 1);
            Replica::new(cfg, stored(entries, term), Instant::from_millis(1))
        };
        Self {
            replicas: vec![
                replica(0, LEADER_ENTRIES, 3),
                replica(1, LEADER_ENTRIES, 3),
                replica(2, SHARED_ENTRIES + UNCOMMITTED_ENTRIES, 2),
            ],
            in_transit: BTreeMap::new(),
            link_free_ms: 0,
            next_sequence: 0,
            sent_to_lagging: 0,
            queued: Some(Vec::new()),
        }
    }

    fn send(&mut self, now_ms: u64, message: Message) {
        if message.from.slot == 2 && self.queued.is_some() {
            return;
        }
        if message.to_slot == 2
            && let Some(queued) = &mut self.queued
        {
            queued.push(message);
            return;
        }
        let bytes = bytes(&message);
        let mut arrives = now_ms + 1;
        if message.to_slot == 2 {
            self.sent_to_lagging += bytes;
        }
        // Large messages queue for the link; small ones are sent between them.
        if bytes > 1_000 {
            self.link_free_ms = self.link_free_ms.max(now_ms) + bytes / BYTES_PER_MS;
            arrives = self.link_free_ms + 1;
        }
        self.next_sequence += 1;
        self.in_transit
            .insert((arrives, self.next_sequence), message);
    }

    fn step(&mut self, now_ms: u64, slot: usize, event: Event) {
        let now = Instant::from_millis(now_ms);
        let mut out = Vec::new();
        self.replicas[slot].step(now, event, &mut out);
        self.replicas[slot].flush(now, &mut out);
        let mut synced = None;
        for action in out {
            match action {
                Action::Append(entries) => synced = entries.last().map(|e| e.at),
                Action::Send { message, .. } => self.send(now_ms, message),
                _ => {}
            }
        }
        if let Some(at) = synced {
            self.step(now_ms, slot, Event::Synced(at));
        }
    }

    /// Ends the partition. All queued messages are sent at once.
    fn heal(&mut self, now_ms: u64) {
        for message in self.queued.take().unwrap_or_default() {
            self.send(now_ms, message);
        }
    }

    /// Delivers the messages due at `now_ms` and ticks the replicas.
    fn run_ms(&mut self, now_ms: u64) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let message = entry.remove();
            self.step(now_ms, message.to_slot as usize, Event::Receive(message));
        }
        if now_ms.is_multiple_of(TICK_INTERVAL_MS) {
            for slot in 0..3 {
                self.step(now_ms, slot, Event::Tick);
            }
        }
    }
}

#[test]
fn a_follower_far_behind_is_sent_little_more_than_it_lacks() {
    let mut net = SimulatedNet::new();
    let end = Index(LEADER_ENTRIES);
    let heal_at = QUEUED_HEARTBEATS * 100;
    let caught_up = (1..heal_at + 10_000).find(|now_ms| {
        if *now_ms == heal_at {
            net.heal(*now_ms);
        }
        net.run_ms(*now_ms);
        net.replicas[2].commit() >= end
    });
    let led = net.replicas.iter().any(|r| r.role() == Role::Leader);
    assert!(led, "a leader is elected");
    let lacked = (LEADER_ENTRIES - SHARED_ENTRIES) * ENTRY_BYTES as u64;
    let sent = net.sent_to_lagging as f64 / lacked as f64;
    assert!(
        caught_up.is_some(),
        "never caught up; sent {sent:.1} times what it lacked"
    );
    assert!(sent < 1.5, "sent {sent:.1} times what it lacked");
    let after = Duration::from_millis(caught_up.unwrap_or_default() - heal_at);
    assert!(after < Duration::from_secs(4), "caught up after {after:?}");
}
