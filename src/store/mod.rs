//! Persistent state of a replica, in files of the data folder.

mod folder;
mod record;
mod wal;

pub use folder::Folder;
pub use wal::Wal;
