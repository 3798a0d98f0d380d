//! `plantaincross zone replace ZONE`: recovers a zone that lost all its instances.

use clap::Subcommand;

use super::{Connection, block_on, print};
use crate::error::Result;

/// Administers an availability zone.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Appoints a new leader for a zone none of whose registered instances respond
    ///
    /// Use only if the former instances of the zone are certainly stopped: one that is
    /// merely partitioned keeps allotting the zone's upstreams, which could then be
    /// overcommitted.
    Replace {
        /// Name of the zone
        zone: String,
        #[command(flatten)]
        connection: Connection,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the root group or every instance of the zone is unreachable.
pub fn run(args: &Args) -> Result<()> {
    let Action::Replace { zone, connection } = &args.action;
    block_on(async {
        let path = format!("/v1/zones/{zone}/replace");
        let () = connection
            .client()?
            .call("POST", &path, None::<&()>)
            .await?;
        print("replaced")
    })
}
