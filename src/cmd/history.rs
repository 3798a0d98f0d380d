//! `plantaincross history`: lists the accepted configuration pushes.

use super::{Cell, print, shown};
use crate::error::Result;

/// Lists the accepted configuration pushes, oldest first: version, digest, operator.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    cell: Cell,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be reached or rejects the request.
pub fn run(args: &Args) -> Result<()> {
    for push in &shown(&args.cell)?.history {
        print(format_args!(
            "{}\t{}\t{}",
            push.version,
            &push.digest[..16],
            push.operator
        ))?;
    }
    Ok(())
}
