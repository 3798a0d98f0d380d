//! `plantaincross diff FOLDER`: compares a folder with the configuration in force.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::{Connection, fetch_config, print};
use crate::config::{Config, merge, read_folder};
use crate::error::{Error, Kind, Result};

/// Compares a configuration folder with the configuration in force.
///
/// Prints one line for each value that a push would change: `-` for the value in
/// force, `+` for the value in the folder.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Folder that holds the `.ini` files
    folder: PathBuf,
    #[command(flatten)]
    connection: Connection,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the folder's configuration is invalid or the instance cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let sources = read_folder(&args.folder)?;
    let new = merge(&sources).map_err(|faults| {
        let message = faults.first().map(ToString::to_string).unwrap_or_default();
        Error::new(Kind::InvalidConfig, message)
    })?;
    for line in changes(&fetch_config(&args.connection)?.config, &new) {
        print(line)?;
    }
    Ok(())
}

/// Returns the differing values of two configurations as lines, sorted by key.
pub fn changes(old: &Config, new: &Config) -> Vec<String> {
    let (old, new) = (flatten(old), flatten(new));
    let mut lines = Vec::new();
    let keys: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let (before, after) = (old.get(key), new.get(key));
        if before == after {
            continue;
        }
        if let Some(value) = before {
            lines.push(format!("-{key} = {value}"));
        }
        if let Some(value) = after {
            lines.push(format!("+{key} = {value}"));
        }
    }
    lines
}

fn flatten(config: &Config) -> BTreeMap<String, Value> {
    let mut flat = BTreeMap::new();
    let value = serde_json::to_value(config).expect("configuration encodes");
    insert(&mut flat, "", value);
    flat
}

fn insert(flat: &mut BTreeMap<String, Value>, path: &str, value: Value) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                insert(flat, &format!("{path}/{key}"), value);
            }
        }
        value => {
            flat.insert(path.to_owned(), value);
        }
    }
}
