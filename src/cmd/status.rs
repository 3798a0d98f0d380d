//! `plantaincross status`: prints the state of the instances.

use super::{Cell, block_on, print};
use crate::core::control::Status;
use crate::error::Result;

/// Shows the state of every reachable instance.
///
/// One line each: name, zone, configuration version in force, index of the last
/// applied log entry, age of its copy of the root group's state in ms, root leader,
/// and whether the instance leads its zone.
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
    block_on(async {
        let all: Vec<Status> = args
            .cell
            .client()?
            .call("GET", "/v1/status", None::<&()>)
            .await?;
        for s in &all {
            let fresh = s.fresh_ms.map_or("-".to_owned(), |ms| ms.to_string());
            let root = s.root_leader.as_deref().unwrap_or("-");
            let leads = if s.leads_zone { "zone-leader" } else { "-" };
            print(format_args!(
                "{}\t{}\tv{}\t@{}\t{fresh}ms\troot={root}\t{leads}",
                s.name, s.zone, s.version, s.applied
            ))?;
        }
        Ok(())
    })
}
