//! Command line for operators.

use std::process::ExitCode;

use clap::Parser;
use plantaincross::cmd::{self, Cli};

fn main() -> ExitCode {
    cmd::exit_code(cmd::run(Cli::parse()))
}
