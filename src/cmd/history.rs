//! `plantaincross history`

use super::{Cell, block_on, print};
use crate::error::Result;
use crate::http::Shown;

/// Lists the accepted pushes, oldest first: version, digest, operator.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    cell: Cell,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be asked.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let shown: Shown = args
            .cell
            .client()?
            .call("GET", "/v1/config", None::<&()>)
            .await?;
        for push in &shown.history {
            print(format_args!(
                "{}\t{}\t{}",
                push.version,
                &push.digest[..16],
                push.operator
            ))?;
        }
        Ok(())
    })
}
