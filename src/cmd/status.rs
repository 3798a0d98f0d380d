//! `plantaincross status`

use super::{Cell, block_on, print};
use crate::core::control::Status;
use crate::error::Result;

/// Shows how every reachable instance stands.
///
/// One line each: name, zone, version in force, log position, age of its knowledge
/// in ms, root leader, whether it leads its zone.
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
