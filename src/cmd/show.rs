//! `plantaincross show`: prints the configuration in force.

use super::{Connection, fetch_config, print};
use crate::error::Result;

/// Prints the configuration in force at one instance as JSON.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    connection: Connection,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be reached or rejects the request.
pub fn run(args: &Args) -> Result<()> {
    let info = fetch_config(&args.connection)?;
    print(format_args!(
        "# version {} digest {}",
        info.version, info.digest
    ))?;
    print(serde_json::to_string_pretty(&info.config).expect("configuration encodes"))
}
