//! In-memory folder with fault injection, for tests.

use std::collections::BTreeMap;
use std::io;

use crate::folder::Folder;

/// Folder whose files are stored in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    files: BTreeMap<String, Vec<u8>>,
    /// Limit on the total size of all files, in bytes.
    capacity: Option<usize>,
    /// Number of bytes after which the next write fails, if it is to be torn.
    tear_after: Option<usize>,
    writes: u64,
}

impl MemoryFolder {
    /// Limits the total size of all files; `None` removes the limit.
    pub fn set_capacity(&mut self, capacity: Option<usize>) {
        self.capacity = capacity;
    }

    /// Makes the next write fail after `after` bytes, as a crash or a disk error does.
    pub fn tear_next_write(&mut self, after: usize) {
        self.tear_after = Some(after);
    }

    /// Inverts all bits of the byte at an offset.
    ///
    /// # Panics
    ///
    /// Panics if the file does not exist or is too short.
    pub fn corrupt(&mut self, name: &str, offset: usize) {
        let file = self.files.get_mut(name).expect("known file");
        file[offset] ^= 0xff;
    }

    /// Returns the total size of all files, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.files.values().map(Vec::len).sum()
    }

    /// Returns the number of writes so far, each of which is synced.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the number of bytes that a write of `requested` bytes may write, and the error that it then returns.
    fn limit_write(&mut self, requested: usize, growth: usize) -> (usize, io::Result<()>) {
        self.writes += 1;
        if let Some(after) = self.tear_after.take() {
            let torn = io::Error::other("torn write");
            return (after.min(requested), Err(torn));
        }
        let free = self.capacity.map(|capacity| capacity.saturating_sub(self.size()));
        match free {
            Some(free) if growth > free => {
                let written = requested - growth + free;
                (written, Err(io::ErrorKind::StorageFull.into()))
            }
            _ => (requested, Ok(())),
        }
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let file = self.files.get(name);
        file.cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let offset = usize::try_from(offset).map_err(io::Error::other)?;
        let len = self.files.get(name).map_or(0, Vec::len);
        let growth = (offset + bytes.len()).saturating_sub(len);
        let (written, outcome) = self.limit_write(bytes.len(), growth);
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        let end = offset + written;
        if file.len() < end {
            file.resize(end, 0);
        }
        file[offset..end].copy_from_slice(&bytes[..written]);
        outcome
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // The old file is kept until the new one is complete, so both take up space.
        let (_, outcome) = self.limit_write(bytes.len(), bytes.len());
        outcome?;
        self.files.insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let len = usize::try_from(len).map_err(io::Error::other)?;
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.truncate(len);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.files.remove(name);
        removed.map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
