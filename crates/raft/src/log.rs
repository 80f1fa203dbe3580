//! In-memory log: the latest snapshot, the entries after it, and the memberships among them.

use chestnutfork_types::{LogIndex, Term};

use crate::entry::{Entry, Payload, Snapshot};
use crate::membership::Membership;

/// Snapshot and the entries after it.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Indexes of the membership entries, in ascending order.
    membership_indexes: Vec<LogIndex>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let membership_indexes = membership_indexes(&entries);
        Self {
            snapshot,
            entries,
            membership_indexes,
        }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.snapshot.meta.index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base_index() + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.meta.term, |entry| entry.term)
    }

    /// Returns the term at an index, or `None` if the entry is compacted or not in the log yet.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index() {
            return Some(self.snapshot.meta.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` to `to`, both inclusive.
    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> &[Entry] {
        let start = self.offset(from);
        let end = self.offset(to + 1).max(start);
        &self.entries[start..end]
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the entries from `from` on that fit into `max_bytes`, and at least one entry if any follows.
    pub(crate) fn batch(&self, from: LogIndex, max_bytes: usize) -> &[Entry] {
        let rest = &self.entries[self.offset(from)..];
        let mut size = 0;
        let fits = rest.iter().take_while(|entry| {
            size += entry.payload.size();
            size <= max_bytes
        });
        let count = fits.count().max(1).min(rest.len());
        &rest[..count]
    }

    /// Appends entries, which replace the log from the index of the first one on.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let keep = self.offset(first.index);
        debug_assert_eq!(self.base_index() + keep as u64 + 1, first.index, "gap in the log");
        self.entries.truncate(keep);
        self.membership_indexes.retain(|&index| index < first.index);
        self.membership_indexes.extend(membership_indexes(entries));
        self.entries.extend_from_slice(entries);
    }

    /// Installs a snapshot, which replaces the log up to its index, or all of it if `keep_suffix` is false.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot, keep_suffix: bool) {
        let covered = if keep_suffix {
            self.offset(snapshot.meta.index + 1)
        } else {
            self.entries.len()
        };
        self.entries.drain(..covered);
        self.membership_indexes = membership_indexes(&self.entries);
        self.snapshot = snapshot;
    }

    /// Returns the latest membership, whether committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.membership_at(self.last_index())
    }

    /// Returns the membership in effect at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let position = self.membership_indexes.iter().rev().find(|&&at| at <= index);
        let payload = position.and_then(|&at| self.get(at)).map(|entry| &entry.payload);
        match payload {
            Some(Payload::Membership(members)) => members,
            _ => &self.snapshot.meta.membership,
        }
    }

    /// Returns the index of the latest membership entry, or that of the snapshot if the log has none.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.membership_indexes
            .last()
            .copied()
            .unwrap_or(self.base_index())
    }

    /// Returns the highest index up to `index` whose term is at most `term`, or the index of the snapshot if there is
    /// none.
    pub(crate) fn last_index_with_term_up_to(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut at = index.min(self.last_index());
        while at > self.base_index() && self.term_at(at).is_some_and(|found| found > term) {
            at -= 1;
        }
        at.max(self.base_index())
    }

    fn offset(&self, index: LogIndex) -> usize {
        let offset = index.saturating_sub(self.base_index() + 1);
        usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(self.entries.len())
    }
}

fn membership_indexes(entries: &[Entry]) -> Vec<LogIndex> {
    entries
        .iter()
        .filter(|entry| matches!(entry.payload, Payload::Membership(_)))
        .map(|entry| entry.index)
        .collect()
}
