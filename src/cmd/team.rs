//! `plantaincross team list`: prints the teams with their load.

use std::collections::BTreeMap;

use clap::Subcommand;

use super::{Connection, block_on, print};
use crate::core::control::Status;
use crate::error::Result;
use crate::http::ConfigInfo;

/// Shows the teams with their shares, limits and current load.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists the teams: name, share, limit, and running, waiting and completed requests
    List {
        #[command(flatten)]
        connection: Connection,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be reached or rejects the request.
pub fn run(args: &Args) -> Result<()> {
    let Action::List { connection } = &args.action;
    block_on(async {
        let mut client = connection.client()?;
        let info: ConfigInfo = client.call("GET", "/v1/config", None::<&()>).await?;
        let statuses: Vec<Status> = client.call("GET", "/v1/status", None::<&()>).await?;
        let mut sums: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
        for load in statuses.iter().flat_map(|s| &s.teams) {
            let sum = sums.entry(&load.team).or_default();
            sum.0 += load.running;
            sum.1 += load.waiting;
            sum.2 += load.completed;
        }
        for (name, team) in &info.config.teams {
            let (running, waiting, completed) =
                sums.get(name.as_str()).copied().unwrap_or_default();
            print(format_args!(
                "{name}\t{}\t{}\t{running}\t{waiting}\t{completed}",
                team.share, team.limit
            ))?;
        }
        Ok(())
    })
}
