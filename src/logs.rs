//! Logging setup.

use std::path::Path;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::error::{Error, Kind, Result};

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Initializes logging to a file, or to standard error if `file` is `None`.
///
/// # Errors
///
/// Fails if the file cannot be opened or logging was already initialized.
pub fn init(file: Option<&Path>, level: LevelFilter) -> Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder).build(path)?),
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))
        .map_err(|err| Error::new(Kind::Internal, err.to_string()))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|err| Error::new(Kind::Internal, err.to_string()))
}
