//! The data folder: one process at a time, private to its user.

use std::fs::{self, DirBuilder, File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use crate::error::{Error, Kind, Result};

/// Mode of the data folder.
const FOLDER_MODE: u32 = 0o700;
/// Mode of its files.
const FILE_MODE: u32 = 0o600;

/// An open data folder. The lock is held until it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    replica: u64,
    _lock: File,
}

impl Folder {
    /// Opens or makes a data folder and takes its lock.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be made or read, or if another process uses it.
    pub fn open(path: &Path) -> Result<Self> {
        DirBuilder::new()
            .recursive(true)
            .mode(FOLDER_MODE)
            .create(path)?;
        let lock = open_private(&path.join("lock"))?;
        lock.try_lock().map_err(|_| {
            let message = format!("{} is in use by another process", path.display());
            Error::new(Kind::Internal, message)
        })?;
        let replica = read_replica(path)?;
        Ok(Self {
            path: path.to_owned(),
            replica,
            _lock: lock,
        })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the identity of the replica whose state the folder holds. A new
    /// folder is a new replica.
    pub const fn replica(&self) -> u64 {
        self.replica
    }
}

fn read_replica(folder: &Path) -> Result<u64> {
    let path = folder.join("replica");
    if path.exists() {
        let mut text = String::new();
        File::open(&path)?.read_to_string(&mut text)?;
        return u64::from_str_radix(text.trim(), 16).map_err(|_| {
            let message = format!("{} is damaged", path.display());
            Error::new(Kind::Internal, message)
        });
    }
    let replica: u64 = rand::random::<u64>().max(1);
    write_atomically(folder, "replica", format!("{replica:016x}\n").as_bytes())?;
    Ok(replica)
}

/// Opens a file that only its user can read, making it if needed.
///
/// # Errors
///
/// Fails if the file cannot be opened.
pub fn open_private(path: &Path) -> std::io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .mode(FILE_MODE)
        .open(path)
}

/// Writes a file under a temporary name, syncs it, renames it into place and
/// syncs the folder.
///
/// # Errors
///
/// Fails if any of these steps does; the old file is then still in place.
pub fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let _ = fs::remove_file(&temporary);
    let mut file = open_private(&temporary)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    if let Err(err) = written {
        let _ = fs::remove_file(&temporary);
        return Err(err);
    }
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}
