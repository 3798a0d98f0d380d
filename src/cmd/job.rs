//! `plantaincross job submit|status|cancel|explain|list`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;

use super::{block_on, print};
use crate::client::{Client, read};
use crate::core::control::JobLine;
use crate::core::fleet::Explanation;
use crate::error::{Error, Kind, Result};
use crate::http::{ShownJob, Submitted};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Hands in and follows jobs.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

/// Which instance to talk to, and the team's key.
#[derive(Clone, Debug, clap::Args)]
struct Caller {
    /// HTTP address of any instance
    #[arg(long, env = "PLANTAINCROSS_AT", default_value = "127.0.0.1:8080")]
    at: SocketAddr,
    /// Key of the team
    #[arg(long, env = "PLANTAINCROSS_KEY", hide_env_values = true)]
    key: String,
}

impl Caller {
    fn client(&self) -> Client {
        Client::new(self.at, Some(self.key.clone()), TIMEOUT)
    }
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Hands in a job and prints its number
    Submit {
        /// File with the job as JSON
        file: PathBuf,
        /// Id under which a repeated submission counts as the same job
        #[arg(long)]
        id: Option<String>,
        #[command(flatten)]
        caller: Caller,
    },
    /// Shows where a job stands
    Status {
        /// Number of the job
        job: u64,
        #[command(flatten)]
        caller: Caller,
    },
    /// Cancels a job
    Cancel {
        /// Number of the job
        job: u64,
        #[command(flatten)]
        caller: Caller,
    },
    /// Says why a job's tasks wait
    Explain {
        /// Number of the job
        job: u64,
        #[command(flatten)]
        caller: Caller,
    },
    /// Lists the team's jobs, newest first
    List {
        #[command(flatten)]
        caller: Caller,
    },
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be asked or refuses.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        match &args.action {
            Action::Submit { file, id, caller } => submit(caller, file, id.as_deref()).await,
            Action::Status { job, caller } => status(caller, *job).await,
            Action::Cancel { job, caller } => cancel(caller, *job).await,
            Action::Explain { job, caller } => explain(caller, *job).await,
            Action::List { caller } => list(caller).await,
        }
    })
}

async fn submit(caller: &Caller, file: &PathBuf, id: Option<&str>) -> Result<()> {
    let text = std::fs::read(file)
        .map_err(|err| Error::new(Kind::BadRequest, format!("{}: {err}", file.display())))?;
    let headers: Vec<(&str, &str)> = id.map(|id| ("idempotency-key", id)).into_iter().collect();
    let response = caller
        .client()
        .send("POST", "/v1/jobs", &headers, text)
        .await?;
    let submitted: Submitted = read(&response)?;
    print(submitted.id)
}

async fn status(caller: &Caller, job: u64) -> Result<()> {
    let path = format!("/v1/jobs/{job}");
    let shown: ShownJob = caller.client().call("GET", &path, None::<&()>).await?;
    print(format_args!(
        "{}\t{}\t{}\t{}\t{}/{}\t{}",
        shown.id, shown.team, shown.spec.name, shown.zone, shown.ended, shown.tasks, shown.state
    ))
}

async fn cancel(caller: &Caller, job: u64) -> Result<()> {
    let path = format!("/v1/jobs/{job}");
    let () = caller.client().call("DELETE", &path, None::<&()>).await?;
    print("cancelled")
}

async fn explain(caller: &Caller, job: u64) -> Result<()> {
    let path = format!("/v1/jobs/{job}/explain");
    let explanation: Explanation = caller.client().call("GET", &path, None::<&()>).await?;
    print(format_args!(
        "{} tasks placed, {} waiting",
        explanation.placed, explanation.waiting
    ))?;
    for reason in &explanation.reasons {
        print(reason)?;
    }
    Ok(())
}

async fn list(caller: &Caller) -> Result<()> {
    let jobs: Vec<JobLine> = caller.client().call("GET", "/v1/jobs", None::<&()>).await?;
    for job in jobs {
        print(format_args!(
            "{}\t{}\t{}\t{}\t{}/{}\t{}",
            job.id, job.team, job.name, job.zone, job.ended, job.tasks, job.state
        ))?;
    }
    Ok(())
}
