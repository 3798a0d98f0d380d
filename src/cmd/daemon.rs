//! `plantaincrossd --settings FILE`: runs an entry instance.

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
/// A graceful stop takes the drain notice plus the remaining time of the longest
/// running request; running requests are not interrupted.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Settings file of the instance
    #[arg(long)]
    settings: PathBuf,
}

/// Runs the daemon.
///
/// # Errors
///
/// Fails if the settings are invalid, an address is already in use or the data
/// folder is unusable.
pub fn run(args: &Args) -> Result<()> {
    let settings = Settings::read(&args.settings)?;
    logs::init(settings.log.as_deref(), LevelFilter::Info)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    // Installed before the start, so that a signal during startup also leads to a
    // graceful stop.
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
