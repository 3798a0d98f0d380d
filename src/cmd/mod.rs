//! The subcommands of the command line, one module each.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

use crate::client::Client;
use crate::error::{Error, Kind, Result};
use crate::http::{ConfigInfo, operator_token};
use crate::settings::read_secret;

pub mod check;
pub mod daemon;
pub mod diff;
pub mod history;
pub mod job;
pub mod key;
pub mod load;
pub mod local;
pub mod push;
pub mod show;
pub mod status;
pub mod team;
pub mod timeline;
pub mod zone;

/// Time limit for one request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Operates a plantaincross cell.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(check::Args),
    Diff(diff::Args),
    History(history::Args),
    Job(job::Args),
    Key(key::Args),
    Load(load::Args),
    Local(local::Args),
    Push(push::Args),
    Show(show::Args),
    Status(status::Args),
    Team(team::Args),
    Timeline(timeline::Args),
    Zone(zone::Args),
}

/// Address of an instance and the operator's credentials.
#[derive(Clone, Debug, clap::Args)]
pub struct Connection {
    /// HTTP address of any entry instance
    #[arg(long, env = "PLANTAINCROSS_AT", default_value = "127.0.0.1:8080")]
    pub at: SocketAddr,
    /// File that holds the cell's secret
    #[arg(long, env = "PLANTAINCROSS_SECRET_FILE")]
    pub secret_file: PathBuf,
}

impl Connection {
    /// Creates a client that authenticates with the operators' token.
    ///
    /// # Errors
    ///
    /// Fails if the secret cannot be read.
    pub fn client(&self) -> Result<Client> {
        let secret = read_secret(&self.secret_file)
            .map_err(|message| Error::new(Kind::InvalidConfig, message))?;
        Ok(Client::new(
            self.at,
            Some(operator_token(&secret)),
            REQUEST_TIMEOUT,
        ))
    }
}

/// Fetches the configuration in force from an instance.
///
/// # Errors
///
/// Fails if the secret cannot be read or the instance cannot be reached.
pub fn fetch_config(connection: &Connection) -> Result<ConfigInfo> {
    block_on(async {
        connection
            .client()?
            .call("GET", "/v1/config", None::<&()>)
            .await
    })
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the subcommand's error.
pub fn run(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args),
        Command::History(args) => history::run(&args),
        Command::Job(args) => job::run(&args),
        Command::Key(args) => key::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Local(args) => local::run(&args),
        Command::Push(args) => push::run(&args),
        Command::Show(args) => show::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Team(args) => team::run(&args),
        Command::Timeline(args) => timeline::run(&args),
        Command::Zone(args) => zone::run(&args),
    }
}

/// Prints an error as one line to standard error and converts the result to an exit
/// code. A closed output pipe counts as success.
pub fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) if err.message.contains("Broken pipe") => ExitCode::SUCCESS,
        Err(err) => {
            let _ = writeln!(std::io::stderr(), "plantaincross: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future to completion on a single-threaded runtime.
///
/// # Errors
///
/// Fails if the runtime cannot be created; otherwise returns the future's error.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

/// Prints a line to standard output.
///
/// # Errors
///
/// Fails if standard output cannot be written to.
pub fn print(line: impl std::fmt::Display) -> Result<()> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
