//! `plantaincross status`: prints the state of the instances.

use super::{Connection, block_on, print};
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
    connection: Connection,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be reached or rejects the request.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let statuses: Vec<Status> = args
            .connection
            .client()?
            .call("GET", "/v1/status", None::<&()>)
            .await?;
        for status in &statuses {
            let age = status.fresh_ms.map_or("-".to_owned(), |ms| ms.to_string());
            let root = status.root_leader.as_deref().unwrap_or("-");
            let leads = if status.leads_zone {
                "zone-leader"
            } else {
                "-"
            };
            print(format_args!(
                "{}\t{}\tv{}\t@{}\t{age}ms\troot={root}\t{leads}",
                status.name, status.zone, status.version, status.applied
            ))?;
        }
        Ok(())
    })
}
