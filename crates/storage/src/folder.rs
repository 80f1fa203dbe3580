//! File operations on a data folder.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// File that the process locks, so that no two processes write to the same folder.
const LOCK_FILE: &str = "lock";
/// Suffix of the name of a file that is not complete yet.
const TEMP_SUFFIX: &str = ".tmp";

/// Synced operations on the files of one folder.
pub trait Folder {
    /// Returns the names of all complete files.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; its kind is `NotFound` if the file does not exist.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes to an existing file at a byte offset and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; any part of the bytes may have been written.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Creates or replaces a file atomically, and syncs it and the folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the file is then unchanged.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Removes a file and syncs the folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Folder in the file system, locked for exclusive use by one process.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// Open lock file; closing it releases the lock.
    _lock: File,
    /// Most recently written file, which stays open.
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens and locks a folder; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Locked`] if another process has locked the folder, and errors of the operating system.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_storage::{DiskFolder, StorageError};
    ///
    /// let dir = tempfile::tempdir()?;
    /// let folder = DiskFolder::open(dir.path())?;
    /// assert!(matches!(DiskFolder::open(dir.path()), Err(StorageError::Locked { .. })));
    /// # drop(folder);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StorageError> {
        let path = path.as_ref().to_owned();
        let failed = |source| StorageError::from_io(LOCK_FILE, source);
        fs::create_dir_all(&path).map_err(failed)?;
        let lock = File::create(path.join(LOCK_FILE)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::Locked { folder: path }),
            Err(TryLockError::Error(source)) => return Err(failed(source)),
        }
        remove_temp_files(&path).map_err(failed)?;
        let open = None;
        Ok(Self {
            path,
            _lock: lock,
            open,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        let cached = self.open.take().filter(|(open, _)| open == name);
        let entry = if let Some(entry) = cached {
            entry
        } else {
            let file = OpenOptions::new().write(true).open(self.path.join(name))?;
            (name.to_owned(), file)
        };
        Ok(&self.open.insert(entry).1)
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn write_temp_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
        let file = File::create(path)?;
        file.write_all_at(bytes, 0)?;
        file.sync_all()
    }
}

/// Removes incomplete files, which a crash has left behind.
fn remove_temp_files(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().ends_with(TEMP_SUFFIX) {
            fs::remove_file(entry.path())?;
        }
    }
    Ok(())
}

impl Folder for DiskFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && !name.ends_with(TEMP_SUFFIX) {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.write_all_at(bytes, offset)?;
        file.sync_data()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let temp_path = self.path.join(format!("{name}{TEMP_SUFFIX}"));
        if let Err(err) = Self::write_temp_file(&temp_path, bytes) {
            // The incomplete file would take up space, and the disk may be full.
            let _ = fs::remove_file(&temp_path);
            return Err(err);
        }
        fs::rename(&temp_path, self.path.join(name))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let file = self.file(name)?;
        file.set_len(len)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))?;
        self.sync_folder()
    }
}
