//! `plantaincross check FOLDER`: validates a configuration folder offline.

use std::path::PathBuf;

use super::print;
use crate::config::{merge, read_folder};
use crate::error::{Error, Kind, Result};

/// Validates a configuration folder without contacting an instance.
///
/// Prints every error as `file:line: message` and exits with status 1 if there are
/// any.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Folder that holds the `.ini` files
    folder: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the folder cannot be read or its configuration is invalid.
pub fn run(args: &Args) -> Result<()> {
    let sources = read_folder(&args.folder).map_err(|err| {
        Error::new(
            Kind::InvalidConfig,
            format!("{}: {err}", args.folder.display()),
        )
    })?;
    match merge(&sources) {
        Ok(config) => print(format_args!(
            "{} files, {} teams, {} services, {} queues, digest {}",
            sources.len(),
            config.teams.len(),
            config.services.len(),
            config.queues.len(),
            &hex::encode(config.digest())[..16],
        )),
        Err(faults) => {
            for fault in &faults {
                print(fault)?;
            }
            let message = format!("configuration has {} errors", faults.len());
            Err(Error::new(Kind::InvalidConfig, message))
        }
    }
}
