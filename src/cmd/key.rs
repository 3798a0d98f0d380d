//! `plantaincross key give TEAM | withdraw ID | list`: manages the teams' API keys.

use clap::Subcommand;

use super::{Connection, block_on, print};
use crate::error::{Error, Kind, Result};
use crate::http::{GiveBody, KeyInfo, Withdrawal};
use crate::util::sha256;

/// Issues, withdraws and lists API keys.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Issues a new key and prints its secret; only the secret's digest is stored
    Give {
        /// Team that the key authenticates
        team: String,
        /// Id of the key; generated from the team's name if omitted
        #[arg(long)]
        id: Option<String>,
        /// Zone that keeps accepting the key while it is partitioned from the others
        #[arg(long)]
        home_zone: Option<String>,
        #[command(flatten)]
        connection: Connection,
    },
    /// Withdraws a key permanently
    Withdraw {
        /// Id of the key
        id: String,
        #[command(flatten)]
        connection: Connection,
    },
    /// Lists the keys: id, team, home zone, state
    List {
        #[command(flatten)]
        connection: Connection,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be reached or rejects the request, or if the key's
/// home zone has not confirmed a withdrawal; the error names the zone.
pub fn run(args: &Args) -> Result<()> {
    match &args.action {
        Action::Give {
            team,
            id,
            home_zone,
            connection,
        } => give(connection, team, id.as_deref(), home_zone.as_deref()),
        Action::Withdraw { id, connection } => withdraw(connection, id),
        Action::List { connection } => list(connection),
    }
}

fn give(
    connection: &Connection,
    team: &str,
    id: Option<&str>,
    home_zone: Option<&str>,
) -> Result<()> {
    let secret = hex::encode(rand::random::<[u8; 24]>());
    let id = id.map_or_else(
        || format!("{team}-{}", hex::encode(rand::random::<[u8; 4]>())),
        str::to_owned,
    );
    let body = GiveBody {
        id: id.clone(),
        team: team.to_owned(),
        digest: hex::encode(sha256(secret.as_bytes())),
        home_zone: home_zone.map(str::to_owned),
    };
    block_on(async {
        let () = connection
            .client()?
            .call("POST", "/v1/keys", Some(&body))
            .await?;
        print(format_args!("{id}\t{secret}"))
    })
}

fn withdraw(connection: &Connection, id: &str) -> Result<()> {
    block_on(async {
        let path = format!("/v1/keys/{id}");
        let body: Withdrawal = connection
            .client()?
            .call("DELETE", &path, None::<&()>)
            .await?;
        if let Some(zone) = body.waits_for {
            let message = format!("withdrawal not yet confirmed: zone {zone} is unreachable");
            return Err(Error::new(Kind::NoQuorum, message));
        }
        print("withdrawn")
    })
}

fn list(connection: &Connection) -> Result<()> {
    block_on(async {
        let keys: Vec<KeyInfo> = connection
            .client()?
            .call("GET", "/v1/keys", None::<&()>)
            .await?;
        for key in keys {
            let state = if key.withdrawn { "withdrawn" } else { "valid" };
            let home = key.home_zone.as_deref().unwrap_or("-");
            print(format_args!("{}\t{}\t{home}\t{state}", key.id, key.team))?;
        }
        Ok(())
    })
}
