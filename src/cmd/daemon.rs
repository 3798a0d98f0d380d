//! `plantaincrossd --settings FILE`

use std::path::PathBuf;

use clap::Parser;
use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Result;
use crate::logs;
use crate::node;
use crate::settings::Settings;

/// Runs one entry instance until SIGTERM or SIGINT, then stops gracefully.
///
/// A planned stop takes the drain notice plus the time of the longest running
/// request; nothing that runs is cut.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Settings of the instance
    #[arg(long)]
    settings: PathBuf,
}

/// Runs the daemon.
///
/// # Errors
///
/// Fails if the settings are wrong, an address is taken or the data folder cannot
/// be used.
pub fn run(args: &Args) -> Result<()> {
    let settings = Settings::read(&args.settings)?;
    logs::init(settings.log.as_deref(), LevelFilter::Info)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    // A stop during the start is orderly too.
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let started = node::start(settings).await?;
    let shutdown = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    started.serve(shutdown).await;
    Ok(())
}
