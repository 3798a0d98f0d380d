//! `plantaincross history`: lists the accepted configuration pushes.

use super::{Connection, fetch_config, print};
use crate::error::Result;

/// Lists the accepted configuration pushes, oldest first: version, digest, operator.
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
    for push in &fetch_config(&args.connection)?.history {
        print(format_args!(
            "{}\t{}\t{}",
            push.version,
            &push.digest[..16],
            push.operator
        ))?;
    }
    Ok(())
}
