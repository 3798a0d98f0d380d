//! The subcommands, one file each.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

use crate::client::Client;
use crate::error::{Error, Kind, Result};
use crate::http::{Shown, operator_token};
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

/// Longest wait for an answer of an instance.
const TIMEOUT: Duration = Duration::from_secs(10);

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

/// Which instance to talk to, and how to prove the right to.
#[derive(Clone, Debug, clap::Args)]
pub struct Cell {
    /// HTTP address of any instance
    #[arg(long, env = "PLANTAINCROSS_AT", default_value = "127.0.0.1:8080")]
    pub at: SocketAddr,
    /// File with the cell's secret
    #[arg(long, env = "PLANTAINCROSS_SECRET_FILE")]
    pub secret_file: PathBuf,
}

impl Cell {
    /// Makes a client with the operators' token.
    ///
    /// # Errors
    ///
    /// Fails if the secret cannot be read.
    pub fn client(&self) -> Result<Client> {
        let secret = read_secret(&self.secret_file)
            .map_err(|message| Error::new(Kind::InvalidConfig, message))?;
        Ok(Client::new(self.at, Some(operator_token(&secret)), TIMEOUT))
    }
}

/// Asks an instance for the configuration in force.
///
/// # Errors
///
/// Fails if the instance cannot be asked.
pub fn shown(cell: &Cell) -> Result<Shown> {
    block_on(async { cell.client()?.call("GET", "/v1/config", None::<&()>).await })
}

/// Runs the chosen subcommand.
///
/// # Errors
///
/// Fails with what the subcommand reports.
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

/// Reports an error in one line and turns the result into an exit code. A reader
/// that closed its end of a pipe is no error.
pub fn finish(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) if err.message.contains("Broken pipe") => ExitCode::SUCCESS,
        Err(err) => {
            let _ = writeln!(std::io::stderr(), "plantaincross: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future on a small runtime.
///
/// # Errors
///
/// Fails if the runtime cannot be made, or with the future's own error.
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
/// Fails if the output is closed.
pub fn print(line: impl std::fmt::Display) -> Result<()> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
