//! `plantaincross job submit|status|cancel|explain|list`: commands for a team's jobs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;

use super::{block_on, print};
use crate::client::{Client, read};
use crate::core::control::JobSummary;
use crate::core::fleet::Explanation;
use crate::error::{Error, Kind, Result};
use crate::http::{JobInfo, Submitted};

/// Time limit for one request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits, inspects and cancels jobs.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

/// Address of an instance and the team's key.
#[derive(Clone, Debug, clap::Args)]
struct Caller {
    /// HTTP address of any entry instance
    #[arg(long, env = "PLANTAINCROSS_AT", default_value = "127.0.0.1:8080")]
    at: SocketAddr,
    /// Secret of the team's key
    #[arg(long, env = "PLANTAINCROSS_KEY", hide_env_values = true)]
    key: String,
}

impl Caller {
    fn client(&self) -> Client {
        Client::new(self.at, Some(self.key.clone()), REQUEST_TIMEOUT)
    }
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Submits a job and prints its number
    Submit {
        /// File that holds the job as JSON
        file: PathBuf,
        /// Idempotency key; a repeated submission with the same id creates no second job
        #[arg(long)]
        id: Option<String>,
        #[command(flatten)]
        caller: Caller,
    },
    /// Shows the state and progress of a job
    Status {
        /// Job number
        job: u64,
        #[command(flatten)]
        caller: Caller,
    },
    /// Cancels a job
    Cancel {
        /// Job number
        job: u64,
        #[command(flatten)]
        caller: Caller,
    },
    /// Explains why tasks of a job are waiting
    Explain {
        /// Job number
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
/// Fails if the instance cannot be reached or rejects the request.
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
    let info: JobInfo = caller.client().call("GET", &path, None::<&()>).await?;
    print(format_args!(
        "{}\t{}\t{}\t{}\t{}/{}\t{}",
        info.id, info.team, info.spec.name, info.zone, info.ended, info.tasks, info.state
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
    let jobs: Vec<JobSummary> = caller.client().call("GET", "/v1/jobs", None::<&()>).await?;
    for job in jobs {
        print(format_args!(
            "{}\t{}\t{}\t{}\t{}/{}\t{}",
            job.id, job.team, job.name, job.zone, job.ended, job.tasks, job.state
        ))?;
    }
    Ok(())
}
