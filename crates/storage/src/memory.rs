//! Folder in memory with injected faults, for tests and the quickstart.

use std::collections::BTreeMap;
use std::io;

use crate::folder::Folder;

/// Folder whose files live in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    files: BTreeMap<String, Vec<u8>>,
    /// Largest size of all files together, in bytes.
    capacity: Option<usize>,
    /// Number of bytes after which the next write fails.
    tear: Option<usize>,
    writes: u64,
}

impl MemoryFolder {
    /// Limits the size of all files together; `None` ends the limit.
    pub fn set_capacity(&mut self, capacity: Option<usize>) {
        self.capacity = capacity;
    }

    /// Makes the next write stop after some bytes and fail, as in a crash or an error of the disk.
    pub fn tear_next_write(&mut self, after: usize) {
        self.tear = Some(after);
    }

    /// Flips the bits of one byte.
    ///
    /// # Panics
    ///
    /// Panics if the file has no such byte.
    pub fn corrupt(&mut self, name: &str, offset: usize) {
        let file = self.files.get_mut(name).expect("known file");
        file[offset] ^= 0xff;
    }

    /// Returns the size of all files together, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.files.values().map(Vec::len).sum()
    }

    /// Returns the number of synced writes so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns how many of the bytes get written, and the error that stops the write.
    fn admit(&mut self, wanted: usize, growth: usize) -> (usize, io::Result<()>) {
        self.writes += 1;
        if let Some(after) = self.tear.take() {
            let torn = io::Error::other("torn write");
            return (after.min(wanted), Err(torn));
        }
        let free = self.capacity.map(|capacity| capacity.saturating_sub(self.size()));
        match free {
            Some(free) if growth > free => {
                let written = wanted - growth + free;
                (written, Err(io::ErrorKind::StorageFull.into()))
            }
            _ => (wanted, Ok(())),
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
        let (written, outcome) = self.admit(bytes.len(), growth);
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        let end = offset + written;
        if file.len() < end {
            file.resize(end, 0);
        }
        file[offset..end].copy_from_slice(&bytes[..written]);
        outcome
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // The old file stays until the new one is complete, so both need space.
        let (_, outcome) = self.admit(bytes.len(), bytes.len());
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
