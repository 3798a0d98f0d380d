//! `plantaincross zone replace ZONE`

use clap::Subcommand;

use super::{Cell, block_on, print};
use crate::error::Result;

/// Acts on an availability zone.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Names a new leader for a zone whose whole roster is silent
    ///
    /// Only when the former instances of the zone are surely dead: one that is
    /// merely cut off goes on allotting the zone's upstreams, which could then be
    /// overcommitted.
    Replace {
        /// Zone
        zone: String,
        #[command(flatten)]
        cell: Cell,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the root group cannot be reached or no instance of the zone can.
pub fn run(args: &Args) -> Result<()> {
    let Action::Replace { zone, cell } = &args.action;
    block_on(async {
        let path = format!("/v1/zones/{zone}/replace");
        let () = cell.client()?.call("POST", &path, None::<&()>).await?;
        print("replaced")
    })
}
