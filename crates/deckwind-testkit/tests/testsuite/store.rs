//! The data folder: recovery after a crash at any disk operation, damage, and
//! exclusive use.

use deckwind_core::replication::{
    ClusterId, Entry, HardState, Index, Payload, Position, ReplicaId, SnapshotMeta, Term,
};
use deckwind_store::{Disk, FsDisk, MemoryDisk, Store, StoreError};
use yare::parameterized;

const ID: ReplicaId = ReplicaId {
    slot: 1,
    identity: 7,
};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        at: Position {
            term: Term(term),
            index: Index(index),
        },
        payload: Payload::Command(vec![index as u8; 20]),
    }
}

fn hard_state(term: u64) -> HardState {
    HardState {
        term: Term(term),
        voted_for: Some(ID),
        cluster: Some(ClusterId(9)),
    }
}

fn meta(index: u64) -> SnapshotMeta {
    SnapshotMeta {
        last: entry(index, 1).at,
        ..SnapshotMeta::default()
    }
}

/// The term, last log index and snapshot index that were acknowledged before the
/// disk failed.
#[derive(Default)]
struct Acknowledged {
    term: u64,
    last: u64,
    snapshot: u64,
}

/// Writes batches and snapshots, and records in `acked` what the store has
/// acknowledged. Returns the first error of the disk.
fn write_until_failure(disk: &MemoryDisk, acked: &mut Acknowledged) -> Result<(), StoreError> {
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID)?;
    for i in 1..=12u64 {
        store.put_hard_state(hard_state(i));
        store.put_entries(vec![entry(2 * i - 1, 1), entry(2 * i, 1)]);
        store.commit()?;
        acked.term = i;
        acked.last = 2 * i;
        if i % 4 == 0 {
            let data = vec![i as u8; 64];
            store.compact(meta(2 * i - 1), data, hard_state(i), vec![entry(2 * i, 1)])?;
            acked.snapshot = 2 * i - 1;
        }
    }
    Ok(())
}

/// Crashes the disk at each of its operations in turn and keeps the first `torn`
/// bytes that were written but not synced: everything acknowledged is read back.
#[parameterized(
    nothing_torn = { 0 }, half_a_header = { 6 }, a_header = { 12 }, part_of_a_body = { 30 },
    all_but_a_byte = { 1_000 },
)]
fn nothing_that_was_acknowledged_is_lost(torn: usize) {
    let clean = MemoryDisk::default();
    write_until_failure(&clean, &mut Acknowledged::default()).unwrap();
    for operations in 0..clean.operations() {
        let disk = MemoryDisk::default();
        disk.fail_after(operations);
        let mut acked = Acknowledged::default();
        let result = write_until_failure(&disk, &mut acked);
        assert!(result.is_err(), "operation {operations}");
        disk.crash(torn);
        let (_, opened) = Store::open(Box::new(disk), ID).unwrap();
        assert!(opened.stored.hard_state.term.0 >= acked.term);
        let snapshot_index = opened.stored.snapshot.last.index.0;
        let last_index = opened
            .stored
            .entries
            .last()
            .map_or(snapshot_index, |e| e.at.index.0);
        assert!(
            last_index >= acked.last,
            "operation {operations}: {last_index} < {}",
            acked.last
        );
        assert!(snapshot_index >= acked.snapshot);
        let gapless = opened.stored.entries.iter().zip(snapshot_index + 1..);
        gapless.for_each(|(e, i)| assert_eq!(e.at.index.0, i));
    }
}

#[test]
fn a_replaced_tail_stays_replaced() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).unwrap();
    store.put_entries(vec![entry(1, 1), entry(2, 1), entry(3, 1)]);
    store.commit().unwrap();
    store.put_entries(vec![entry(2, 2)]);
    store.commit().unwrap();
    let (_, opened) = Store::open(Box::new(disk), ID).unwrap();
    assert_eq!(opened.stored.entries, [entry(1, 1), entry(2, 2)]);
}

#[test]
fn damage_before_the_tail_is_refused_with_its_position() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).unwrap();
    let offset = 20;
    for i in 1..=3 {
        store.put_entries(vec![entry(i, 1)]);
        store.commit().unwrap();
    }
    disk.corrupt_byte("log", offset);
    let refused = Store::open(Box::new(disk), ID).err().unwrap();
    assert_eq!(
        refused.to_string(),
        "log: damaged at byte 0, with good records behind it: the disk lost what it had synced. \
         Move the data folder away and start again: the replica comes back with a new identity \
         and gets the state from the others"
    );
}

#[test]
fn a_torn_tail_is_cut_off_and_written_over() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).unwrap();
    store.put_entries(vec![entry(1, 1)]);
    store.commit().unwrap();
    store.put_entries(vec![entry(2, 1)]);
    disk.fail_after(1);
    assert!(store.commit().is_err());
    disk.crash(15);
    let (mut store, opened) = Store::open(Box::new(disk.clone()), ID).unwrap();
    assert_eq!(opened.truncated_bytes, 15);
    store.put_entries(vec![entry(2, 2)]);
    store.commit().unwrap();
    let (_, opened) = Store::open(Box::new(disk), ID).unwrap();
    assert_eq!(opened.stored.entries, [entry(1, 1), entry(2, 2)]);
}

/// Guards against a header whose end was not written and reads as zeros: it must not look
/// like a whole record with an empty body, or the replica would not start.
#[test]
fn a_torn_header_that_reads_as_zeros_is_cut_off() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).unwrap();
    store.put_entries(vec![entry(1, 1)]);
    store.commit().unwrap();
    drop(store);
    let mut writer = disk.clone();
    let mut torn = b"dwr1".to_vec();
    torn.resize(40, 0);
    writer.append("log", &torn).unwrap();
    writer.sync("log").unwrap();
    let (_, opened) = Store::open(Box::new(disk), ID).unwrap();
    assert_eq!(opened.stored.entries, [entry(1, 1)]);
}

/// Guards against synced data that is thrown away as a torn tail: a last record that is
/// complete and has its checksum was written whole, also if this version can't read it.
#[test]
fn a_whole_last_record_that_is_unreadable_is_refused() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).unwrap();
    store.put_entries(vec![entry(1, 1)]);
    store.commit().unwrap();
    drop(store);
    let mut writer = disk.clone();
    // A record of another type, in place of one of another version.
    let other = writer.read("identity").unwrap().unwrap();
    let offset = writer.read("log").unwrap().unwrap().len();
    writer.append("log", &other).unwrap();
    writer.sync("log").unwrap();
    let refused = Store::open(Box::new(disk.clone()), ID).err();
    assert!(
        matches!(refused, Some(StoreError::Unreadable { file: "log", at }) if at == offset),
        "{refused:?}"
    );
    let kept = disk.read("log").unwrap().unwrap().len();
    assert_eq!(kept, offset + other.len(), "nothing is cut off");
}

#[test]
fn a_folder_of_another_slot_is_refused() {
    let disk = MemoryDisk::default();
    Store::open(Box::new(disk.clone()), ID).unwrap();
    let other = ReplicaId {
        slot: 2,
        identity: 8,
    };
    let refused = Store::open(Box::new(disk), other).err().unwrap();
    assert_eq!(
        refused.to_string(),
        "identity: the folder belongs to slot 1, the settings say slot 2; give each replica its \
         own control.data_folder"
    );
}

#[test]
fn a_folder_is_locked_while_open_and_can_be_opened_again() {
    let folder = tempfile::TempDir::new().expect("the folder is created");
    let first = FsDisk::open(folder.path()).expect("the folder opens");
    assert!(FsDisk::open(folder.path()).is_err(), "the folder is in use");
    drop(first);
    for _ in 0..3 {
        FsDisk::open(folder.path()).expect("the folder opens again");
    }
}

/// Guards against a record that was written and not synced when its process was killed, that
/// counts as synced at the next start, and that a loss of power then takes away.
#[test]
fn what_a_start_finds_survives_a_loss_of_power() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(Box::new(disk.clone()), ID).expect("a new folder");
    store.put_entries(vec![entry(1, 1)]);
    // The append succeeds; the process is killed before the sync.
    disk.fail_after(1);
    assert!(store.commit().is_err());
    drop(store);
    disk.clear_failure();
    let open = || {
        Store::open(Box::new(disk.clone()), ID)
            .expect("the folder opens")
            .1
    };
    let found = open().stored.entries;
    assert_eq!(found, [entry(1, 1)]);
    disk.crash(0);
    assert_eq!(open().stored.entries, found);
}
