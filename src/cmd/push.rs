//! `plantaincross push FOLDER --replaces N [--wait]`: submits a configuration.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{Connection, block_on, print};
use crate::client::{Client, read};
use crate::config::{Source, read_folder};
use crate::error::{Error, Kind, Result};
use crate::http::{Faults, PushBody, Pushed};

/// Time limit for a version to come into force at every instance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(7);
/// Interval between status requests with `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pushes a configuration folder that replaces a given version.
///
/// Of concurrent pushes that replace the same version, one is accepted. A push can
/// safely be repeated after its answer was lost: it returns the first answer again.
/// Each accepted push adds one entry to the replicated log.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Folder that holds the `.ini` files
    folder: PathBuf,
    /// Version to replace; 0 for the first push
    #[arg(long)]
    replaces: u64,
    /// Operator's name for the history
    #[arg(long, env = "USER", default_value = "operator")]
    operator: String,
    /// Wait until the version is in force at every instance
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    connection: Connection,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the configuration is rejected, or with `--wait` if an instance does not
/// report the version in time.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let mut client = args.connection.client()?;
        let files = read_folder(&args.folder)?;
        let version = push(&mut client, args.replaces, &args.operator, files).await?;
        print(format_args!("version {version}"))?;
        if args.wait {
            wait_until_in_force(&mut client, version).await?;
        }
        Ok(())
    })
}

/// Pushes configuration files and returns the resulting version.
///
/// # Errors
///
/// Fails if the configuration is invalid, after printing each error, or if another
/// push has already replaced the version.
pub async fn push(
    client: &mut Client,
    replaces: u64,
    operator: &str,
    files: Vec<Source>,
) -> Result<u64> {
    let body = PushBody {
        replaces,
        operator: operator.to_owned(),
        files,
    };
    let bytes = serde_json::to_vec(&body).expect("push encodes");
    let response = client.send("POST", "/v1/config", &[], bytes).await?;
    if let Ok(faults) = serde_json::from_slice::<Faults>(response.body()) {
        for fault in &faults.faults {
            print(fault)?;
        }
        let message = format!("configuration has {} errors", faults.faults.len());
        return Err(Error::new(faults.kind, message));
    }
    let pushed: Pushed = read(&response)?;
    Ok(pushed.version)
}

async fn wait_until_in_force(client: &mut Client, version: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let statuses: Vec<Value> = client.call("GET", "/v1/status", None::<&()>).await?;
        let behind: Vec<String> = statuses
            .iter()
            .filter(|s| s["version"].as_u64().unwrap_or(0) < version)
            .map(|s| s["name"].as_str().unwrap_or("?").to_owned())
            .collect();
        if behind.is_empty() {
            let millis = started.elapsed().as_millis();
            return print(format_args!(
                "in force at {} instances after {millis} ms",
                statuses.len()
            ));
        }
        if started.elapsed() > WAIT_TIMEOUT {
            let message = format!(
                "version {version} is not yet in force at {}",
                behind.join(" ")
            );
            return Err(Error::new(Kind::NoQuorum, message));
        }
        sleep(POLL_INTERVAL).await;
    }
}
