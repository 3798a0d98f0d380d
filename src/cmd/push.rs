//! `plantaincross push FOLDER --replaces N [--wait]`

use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{Cell, block_on, print};
use crate::client::{Client, read};
use crate::config::{Source, read_folder};
use crate::error::{Error, Kind, Result};
use crate::http::{Faults, PushBody, Pushed};

/// Longest wait for a version to be in force everywhere.
const WAIT_MAX: Duration = Duration::from_secs(7);
/// Pause between two looks.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// Pushes a configuration folder in place of the version that it replaces.
///
/// Racing pushes have one winner; repeating a push whose answer was lost gives the
/// first answer again. Costs one entry in the log.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Folder with the `.ini` files
    folder: PathBuf,
    /// Version that it replaces; 0 for the first
    #[arg(long)]
    replaces: u64,
    /// Name to appear in the history
    #[arg(long, env = "USER", default_value = "operator")]
    operator: String,
    /// Wait until the version is in force at every instance
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    cell: Cell,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the configuration is refused, or with `--wait` if an instance does not
/// report it in time.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let mut client = args.cell.client()?;
        let files = read_folder(&args.folder)?;
        let version = push(&mut client, args.replaces, &args.operator, files).await?;
        print(format_args!("version {version}"))?;
        if args.wait {
            wait(&mut client, version).await?;
        }
        Ok(())
    })
}

/// Pushes files and returns the version that is in force for them.
///
/// # Errors
///
/// Fails with every error of the files, or with the winner of a race.
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
        let message = format!("{} errors", faults.faults.len());
        return Err(Error::new(faults.kind, message));
    }
    let pushed: Pushed = read(&response)?;
    Ok(pushed.version)
}

async fn wait(client: &mut Client, version: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let all: Vec<Value> = client.call("GET", "/v1/status", None::<&()>).await?;
        let behind: Vec<String> = all
            .iter()
            .filter(|s| s["version"].as_u64().unwrap_or(0) < version)
            .map(|s| s["name"].as_str().unwrap_or("?").to_owned())
            .collect();
        if behind.is_empty() {
            let millis = started.elapsed().as_millis();
            return print(format_args!(
                "in force at {} instances after {millis} ms",
                all.len()
            ));
        }
        if started.elapsed() > WAIT_MAX {
            let message = format!("not yet in force at {}", behind.join(" "));
            return Err(Error::new(Kind::NoQuorum, message));
        }
        sleep(WAIT_PAUSE).await;
    }
}
