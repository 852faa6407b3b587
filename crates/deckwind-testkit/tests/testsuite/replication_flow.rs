//! How much a leader sends to a follower that comes back far behind, with
//! entries of its own that were never agreed.

use deckwind_core::replication::{
    Action, Body, ClusterId, Entry, Event, HardState, Index, Members, Message, Payload, Position,
    Replica, ReplicaConfig, ReplicaId, Role, SnapshotMeta, Stored, Term,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bytes of one entry: a release of a hundred routes.
const ENTRY: usize = 36_000;

/// Entries that the leader has, those that the late follower has too, and those
/// that it wrote alone.
const ALL: u64 = 160;
const EARLY: u64 = 90;
const ALONE: u64 = 8;

/// Heartbeats that waited for the late follower while it was cut off.
const WAITED: u64 = 80;

/// What a link carries in a millisecond: 170 Mbit/s.
const BYTES_PER_MS: u64 = 21_000;

const TICK_MS: u64 = 10;

fn id(slot: u32) -> ReplicaId {
    ReplicaId {
        slot,
        identity: 100 + u64::from(slot),
    }
}

fn stored(entries: u64, term_after_early: u64) -> Stored {
    let members = Members {
        voters: (0..3).map(id).collect(),
        learners: BTreeSet::new(),
    };
    let entry = |i| Entry {
        at: Position {
            term: Term(if i > EARLY { term_after_early } else { 1 }),
            index: Index(i),
        },
        payload: match i {
            1 => Payload::Members(members.clone()),
            _ => Payload::Command(vec![0; ENTRY]),
        },
    };
    Stored {
        hard_state: HardState {
            term: Term(term_after_early),
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

struct Net {
    replicas: Vec<Replica>,
    /// By the time of arrival and a number that keeps them apart.
    flying: BTreeMap<(u64, u64), Message>,
    link_free_ms: u64,
    next: u64,
    sent_to_late: u64,
    /// Messages to the late follower while it is cut off.
    held: Option<Vec<Message>>,
}

impl Net {
    fn new() -> Self {
        let replica = |slot: u32, entries, term| {
            let cfg = ReplicaConfig::new(id(slot), 0..3, u64::from(slot) + 1);
            Replica::new(cfg, stored(entries, term), Instant::from_millis(1))
        };
        Self {
            replicas: vec![
                replica(0, ALL, 3),
                replica(1, ALL, 3),
                replica(2, EARLY + ALONE, 2),
            ],
            flying: BTreeMap::new(),
            link_free_ms: 0,
            next: 0,
            sent_to_late: 0,
            held: Some(Vec::new()),
        }
    }

    fn fly(&mut self, now_ms: u64, message: Message) {
        if message.from.slot == 2 && self.held.is_some() {
            return;
        }
        if message.to_slot == 2
            && let Some(held) = &mut self.held
        {
            held.push(message);
            return;
        }
        let bytes = bytes(&message);
        let mut arrives = now_ms + 1;
        if message.to_slot == 2 {
            self.sent_to_late += bytes;
        }
        // A large message waits for the link; a small one finds a gap.
        if bytes > 1_000 {
            self.link_free_ms = self.link_free_ms.max(now_ms) + bytes / BYTES_PER_MS;
            arrives = self.link_free_ms + 1;
        }
        self.next += 1;
        self.flying.insert((arrives, self.next), message);
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
                Action::Send { message, .. } => self.fly(now_ms, message),
                _ => {}
            }
        }
        if let Some(at) = synced {
            self.step(now_ms, slot, Event::Synced(at));
        }
    }

    /// Ends the cut: what waited goes out at once.
    fn heal(&mut self, now_ms: u64) {
        for message in self.held.take().unwrap_or_default() {
            self.fly(now_ms, message);
        }
    }

    /// Runs one millisecond.
    fn run_ms(&mut self, now_ms: u64) {
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let message = entry.remove();
            self.step(now_ms, message.to_slot as usize, Event::Receive(message));
        }
        if now_ms.is_multiple_of(TICK_MS) {
            for slot in 0..3 {
                self.step(now_ms, slot, Event::Tick);
            }
        }
    }
}

#[test]
fn a_follower_far_behind_is_sent_little_more_than_it_lacks() {
    let mut net = Net::new();
    let end = Index(ALL);
    let heal_at = WAITED * 100;
    let caught_up = (1..heal_at + 10_000).find(|now_ms| {
        if *now_ms == heal_at {
            net.heal(*now_ms);
        }
        net.run_ms(*now_ms);
        net.replicas[2].commit() >= end
    });
    let led = net.replicas.iter().any(|r| r.role() == Role::Leader);
    assert!(led, "somebody leads");
    let lacked = (ALL - EARLY) * ENTRY as u64;
    let sent = net.sent_to_late as f64 / lacked as f64;
    assert!(
        caught_up.is_some(),
        "never caught up; sent {sent:.1} times what it lacked"
    );
    assert!(sent < 1.5, "sent {sent:.1} times what it lacked");
    let after = Duration::from_millis(caught_up.unwrap_or_default() - heal_at);
    assert!(after < Duration::from_secs(4), "caught up after {after:?}");
}
