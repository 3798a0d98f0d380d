//! The daemon of an entry instance.

use std::process::ExitCode;

use clap::Parser;
use plantaincross::cmd::{self, daemon};

fn main() -> ExitCode {
    cmd::exit_code(daemon::run(&daemon::Args::parse()))
}
