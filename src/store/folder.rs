//! The data folder, which one process uses at a time and only its user can read.

use std::fs::{self, DirBuilder, File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use crate::error::{Error, Kind, Result};

/// Permissions of the data folder.
const FOLDER_MODE: u32 = 0o700;
/// Permissions of the files in the data folder.
const FILE_MODE: u32 = 0o600;

/// An open data folder, locked until it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    replica: u64,
    _lock: File,
}

impl Folder {
    /// Opens a data folder, creating it if needed, and locks it.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or read, or if another process holds its
    /// lock.
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

    /// Returns the number of the replica whose state the folder holds. A new folder gets
    /// a new random number.
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
    write_atomically(folder, "replica", &[format!("{replica:016x}\n").as_bytes()])?;
    Ok(replica)
}

/// Opens a file for reading and writing, creating it with permissions for its user only.
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

/// Replaces a file atomically by one that consists of `parts`: writes and syncs a temporary file,
/// renames it into place and syncs the folder.
///
/// # Errors
///
/// Fails if any of these steps fails. The old file is then still in place, unless only
/// the last step, the sync of the folder, failed.
pub fn write_atomically(folder: &Path, name: &str, parts: &[&[u8]]) -> std::io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let _ = fs::remove_file(&temporary);
    let mut file = open_private(&temporary)?;
    let mut parts = parts.iter();
    let written = parts.try_for_each(|part| file.write_all(part));
    let written = written.and_then(|()| file.sync_all());
    if let Err(err) = written {
        let _ = fs::remove_file(&temporary);
        return Err(err);
    }
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}
