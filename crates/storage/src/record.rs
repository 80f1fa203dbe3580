//! Types of the durable state and their encoding in frames.

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

/// Term and vote of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that the replica voted for in this term.
    pub vote: Option<ReplicaId>,
}

/// Log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Index in the log, starting at one.
    pub index: LogIndex,
    /// Term of the entry.
    pub term: Term,
    /// Content, encoded by the caller.
    pub payload: Bytes,
}

/// State machine and member set at a log index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotRecord {
    /// Last log index that the snapshot covers; zero for the initial member set.
    pub index: LogIndex,
    /// Term of the entry at that index.
    pub term: Term,
    /// Member set, encoded by the caller.
    pub members: Bytes,
    /// State machine, encoded by the caller.
    pub data: Bytes,
}

/// State of a replica as stored in its folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: SnapshotRecord,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Record>,
}

/// Change to the durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Sets term and vote.
    HardState(HardState),
    /// Replaces the log from the index of the first record onwards.
    Append(Vec<Record>),
    /// Replaces the snapshot and the log up to the snapshot's index.
    ///
    /// Later entries are kept if the log has an entry with the snapshot's term at that index.
    Snapshot(SnapshotRecord),
}

const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;

/// Record in a frame of the log.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LogRecord {
    HardState(HardState),
    Entry(Record),
}

pub(crate) fn encode_hard_state(hard_state: HardState, buf: &mut Vec<u8>) {
    buf.push(KIND_HARD_STATE);
    put(buf, hard_state.term);
    buf.push(u8::from(hard_state.vote.is_some()));
    put(buf, hard_state.vote.unwrap_or(0));
}

pub(crate) fn encode_entry(record: &Record, buf: &mut Vec<u8>) {
    buf.push(KIND_ENTRY);
    put(buf, record.index);
    put(buf, record.term);
    put_bytes(buf, &record.payload);
}

pub(crate) fn encode_snapshot(snapshot: &SnapshotRecord) -> Vec<u8> {
    let mut buf = Vec::with_capacity(snapshot.data.len() + snapshot.members.len() + 32);
    put(&mut buf, snapshot.index);
    put(&mut buf, snapshot.term);
    put_bytes(&mut buf, &snapshot.members);
    put_bytes(&mut buf, &snapshot.data);
    buf
}

/// Decodes all records of a frame; returns `None` if the frame is malformed.
pub(crate) fn decode_log(mut frame: &[u8]) -> Option<Vec<LogRecord>> {
    let mut records = Vec::new();
    while let Some((&kind, rest)) = frame.split_first() {
        frame = rest;
        let record = match kind {
            KIND_HARD_STATE => LogRecord::HardState(take_hard_state(&mut frame)?),
            KIND_ENTRY => LogRecord::Entry(take_entry(&mut frame)?),
            _ => return None,
        };
        records.push(record);
    }
    Some(records)
}

pub(crate) fn decode_snapshot(mut frame: &[u8]) -> Option<SnapshotRecord> {
    let snapshot = SnapshotRecord {
        index: take(&mut frame)?,
        term: take(&mut frame)?,
        members: take_bytes(&mut frame)?,
        data: take_bytes(&mut frame)?,
    };
    frame.is_empty().then_some(snapshot)
}

fn take_hard_state(buf: &mut &[u8]) -> Option<HardState> {
    let term = take(buf)?;
    let (&voted, rest) = buf.split_first()?;
    *buf = rest;
    let vote = take(buf)?;
    let vote = (voted == 1).then_some(vote);
    Some(HardState { term, vote })
}

fn take_entry(buf: &mut &[u8]) -> Option<Record> {
    let index = take(buf)?;
    let term = take(buf)?;
    let payload = take_bytes(buf)?;
    Some(Record { index, term, payload })
}

fn put(buf: &mut Vec<u8>, value: u64) {
    buf.extend_from_slice(&value.to_le_bytes());
}

fn put_bytes(buf: &mut Vec<u8>, bytes: &[u8]) {
    put(buf, bytes.len() as u64);
    buf.extend_from_slice(bytes);
}

fn take(buf: &mut &[u8]) -> Option<u64> {
    let (head, rest) = buf.split_first_chunk()?;
    *buf = rest;
    Some(u64::from_le_bytes(*head))
}

fn take_bytes(buf: &mut &[u8]) -> Option<Bytes> {
    let len = usize::try_from(take(buf)?).ok()?;
    let (head, rest) = buf.split_at_checked(len)?;
    *buf = rest;
    Some(Bytes::copy_from_slice(head))
}
