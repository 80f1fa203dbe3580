//! Conversion between the state of the replicated log and storage records.

use chestnutfork_raft::{
    Action, DurableState, Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta,
};
use chestnutfork_storage::{Change, HardState as StoredHardState, Record, SnapshotRecord, StoredState};
use chestnutfork_wire::{CodecError, MembershipWire, PayloadWire};

/// Decodes the durable state of the replicated log.
///
/// # Errors
///
/// Returns an error if a record was written by an incompatible version.
pub(crate) fn durable_state(stored: StoredState) -> Result<DurableState, CodecError> {
    let hard_state = HardState {
        term: stored.hard_state.term,
        vote: stored.hard_state.vote,
    };
    let entries: Result<Vec<Entry>, CodecError> = stored.entries.iter().map(entry).collect();
    Ok(DurableState {
        hard_state,
        snapshot: snapshot(stored.snapshot)?,
        entries: entries?,
    })
}

fn snapshot(record: SnapshotRecord) -> Result<Snapshot, CodecError> {
    // A newly formatted folder has no member set.
    let membership = match record.members.as_ref() {
        [] => Membership::default(),
        members => MembershipWire::from_bytes(members)?.into(),
    };
    let meta = SnapshotMeta {
        index: record.index,
        term: record.term,
        membership,
    };
    Ok(Snapshot {
        meta,
        data: record.data,
    })
}

fn entry(record: &Record) -> Result<Entry, CodecError> {
    let payload = Payload::from(PayloadWire::from_bytes(&record.payload)?);
    Ok(Entry {
        index: record.index,
        term: record.term,
        payload,
    })
}

/// Returns the storage change for an action that persists state, or `None` for any other action.
pub(crate) fn storage_change(action: &Action) -> Option<Change> {
    match action {
        Action::SaveHardState(hard_state) => Some(Change::HardState(StoredHardState {
            term: hard_state.term,
            vote: hard_state.vote,
        })),
        Action::AppendLog(entries) => Some(Change::Append(entries.iter().map(record).collect())),
        Action::SaveSnapshot { snapshot, .. } => Some(Change::Snapshot(snapshot_record(snapshot))),
        _ => None,
    }
}

pub(crate) fn snapshot_record(snapshot: &Snapshot) -> SnapshotRecord {
    let members = MembershipWire::from(snapshot.meta.membership.clone());
    SnapshotRecord {
        index: snapshot.meta.index,
        term: snapshot.meta.term,
        members: members.to_bytes().expect("numbers have an encoding"),
        data: snapshot.data.clone(),
    }
}

fn record(entry: &Entry) -> Record {
    let payload = PayloadWire::from(entry.payload.clone());
    Record {
        index: entry.index,
        term: entry.term,
        payload: payload.to_bytes().expect("numbers and bytes have an encoding"),
    }
}
