//! Settings of one instance, read from an INI file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ini::Ini;

use crate::config::{is_name, line_of};
use crate::error::{Error, Kind, Result};
use crate::ingress::BUDGET_MIN_BYTES;
use crate::util::{parse_duration, parse_size};

/// Minimum length of the cell's secret.
const SECRET_MIN_BYTES: usize = 16;
/// Default budget for requests that are not yet answered, in bytes: a quarter of a machine of
/// 128 MB, of which 1,024 connections take 48 MB. Its part for large bodies holds several
/// bodies of the longest permitted length, 4 MiB.
const RECEIVE_BUDGET_BYTES: usize = 32 << 20;

/// Default memory for accepted jobs, in bytes: a fifth of a machine of 120 MB. It holds a million
/// tasks.
const JOB_MEMORY_BYTES: usize = 24 << 20;
/// Smallest memory for accepted jobs that can be set, in bytes. Its part for large jobs holds two
/// jobs of the largest number of tasks.
const JOB_MEMORY_MIN_BYTES: usize = 1 << 20;
/// Default receive buffer of a connection, in bytes. The kernel holds up to twice as much unread,
/// 32 MB for 1,024 connections.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Receive buffers that can be set, in bytes.
const RECEIVE_BUFFER_RANGE: std::ops::RangeInclusive<usize> = 4 << 10..=1 << 20;

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique in the cell.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Listen address for callers, the platform and operators.
    pub http: SocketAddr,
    /// Listen address for peers, which is also advertised to them.
    pub peer: SocketAddr,
    /// Peer addresses of other instances, to join the cell.
    pub seeds: Vec<String>,
    /// Secret shared by all instances of the cell.
    pub secret: Vec<u8>,
    /// Bearer token of upstreams and workers; empty disables the check.
    pub platform_token: String,
    /// Data folder; `None` on instances without a disk.
    pub data: Option<PathBuf>,
    /// Names of the instances that bootstrap the root group.
    pub founders: Vec<String>,
    /// Time without contact after which a voter is replaced by a spare.
    pub replace_after: Duration,
    /// Time for which a graceful shutdown goes on serving new requests.
    pub drain_notice: Duration,
    /// Longest wait of a graceful shutdown for running requests.
    pub drain_limit: Duration,
    /// Log file; `None` logs to standard error.
    pub log: Option<PathBuf>,
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Budget for bytes received from callers and not yet answered.
    pub receive_budget_bytes: usize,
    /// Memory that accepted jobs may take, in bytes.
    pub job_memory_bytes: usize,
    /// Receive buffer of each connection from callers, in bytes.
    pub receive_buffer_bytes: usize,
}

impl Settings {
    /// Returns settings with defaults for everything optional.
    pub fn new(name: &str, zone: &str, http: SocketAddr, peer: SocketAddr, secret: &[u8]) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            http,
            peer,
            seeds: Vec::new(),
            secret: secret.to_vec(),
            platform_token: String::new(),
            data: None,
            founders: Vec::new(),
            replace_after: Duration::from_secs(60),
            drain_notice: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            log: None,
            connections: 1_024,
            receive_budget_bytes: RECEIVE_BUDGET_BYTES,
            job_memory_bytes: JOB_MEMORY_BYTES,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }

    /// Divides the limits on what clients can make the process hold, for `instances` instances
    /// in one process.
    pub fn divide(&mut self, instances: usize) {
        self.receive_budget_bytes /= instances;
        self.connections = (self.connections / instances).max(1);
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails with `file:line: message` for the first error.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| invalid(format!("{}: {err}", path.display())))?;
        Self::parse(&text)
            .map_err(|(line, message)| invalid(format!("{}:{line}: {message}", path.display())))
    }

    fn parse(text: &str) -> Result<Self, (usize, String)> {
        let ini = Ini::load_from_str(text).map_err(|err| (err.line, err.msg.to_string()))?;
        let unset: SocketAddr = ([0, 0, 0, 0], 0).into();
        let mut settings = Self::new("", "", unset, unset, b"");
        for (section, values) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in values.iter() {
                let line = line_of(text, section, 0, Some(key));
                settings
                    .set(section, key, value.trim())
                    .map_err(|message| (line, message))?;
            }
        }
        settings.check().map_err(|message| (0, message))?;
        Ok(settings)
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), String> {
        let list = || value.split_whitespace().map(str::to_owned).collect();
        match (section, key) {
            ("instance", "name") => self.name = name(value)?,
            ("instance", "zone") => self.zone = name(value)?,
            ("instance", "http") => self.http = address(value)?,
            ("instance", "peer") => self.peer = address(value)?,
            ("instance", "data") => self.data = Some(value.into()),
            ("instance", "log") => self.log = Some(value.into()),
            ("instance", "connections") => {
                self.connections = value
                    .parse()
                    .map_err(|_| format!("`{value}` is not a number"))?;
            }
            ("instance", "receive-budget") => {
                let bytes = parse_size(value)?;
                self.receive_budget_bytes = usize::try_from(bytes)
                    .ok()
                    .filter(|&bytes| bytes >= BUDGET_MIN_BYTES)
                    .ok_or_else(|| format!("`{value}` is below 8MB"))?;
            }
            ("instance", "job-memory") => {
                let bytes = parse_size(value)?;
                self.job_memory_bytes = usize::try_from(bytes)
                    .ok()
                    .filter(|&bytes| bytes >= JOB_MEMORY_MIN_BYTES)
                    .ok_or_else(|| format!("`{value}` is below 1MB"))?;
            }
            ("instance", "receive-buffer") => {
                let bytes = parse_size(value)?;
                self.receive_buffer_bytes = usize::try_from(bytes)
                    .ok()
                    .filter(|bytes| RECEIVE_BUFFER_RANGE.contains(bytes))
                    .ok_or_else(|| format!("`{value}` is not from 4KB to 1MB"))?;
            }
            ("cell", "seeds") => {
                self.seeds = list();
                for seed in &self.seeds {
                    address(seed)?;
                }
            }
            ("cell", "founders") => self.founders = list(),
            ("cell", "secret-file") => self.secret = read_secret(Path::new(value))?,
            ("cell", "platform-token-file") => {
                let token = read_secret(Path::new(value))?;
                self.platform_token =
                    String::from_utf8(token).map_err(|_| format!("{value} is not valid UTF-8"))?;
            }
            ("cell", "replace-after") => self.replace_after = parse_duration(value)?,
            ("drain", "notice") => self.drain_notice = parse_duration(value)?,
            ("drain", "limit") => self.drain_limit = parse_duration(value)?,
            _ => return Err(format!("unknown key `{key}` in [{section}]")),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if self.name.is_empty() || self.zone.is_empty() {
            return Err("[instance] needs `name` and `zone`".into());
        }
        if self.http.port() == 0 || self.peer.port() == 0 {
            return Err("[instance] needs `http` and `peer` addresses".into());
        }
        if self.secret.len() < SECRET_MIN_BYTES {
            return Err(format!(
                "[cell] needs a `secret-file` of {SECRET_MIN_BYTES} bytes or more"
            ));
        }
        if self.founders.contains(&self.name) && self.data.is_none() {
            return Err("a founder needs a `data` folder".into());
        }
        Ok(())
    }
}

/// Reads a secret from a file, without leading and trailing ASCII whitespace.
///
/// # Errors
///
/// Fails with a message if the file cannot be read.
pub fn read_secret(path: &Path) -> Result<Vec<u8>, String> {
    let bytes = std::fs::read(path).map_err(|err| format!("{}: {err}", path.display()))?;
    Ok(bytes.trim_ascii().to_vec())
}

fn name(value: &str) -> Result<String, String> {
    if is_name(value) {
        Ok(value.to_owned())
    } else {
        Err(format!("`{value}` is not a valid name"))
    }
}

fn address(value: &str) -> Result<SocketAddr, String> {
    value
        .parse()
        .map_err(|_| format!("`{value}` is not an address such as 127.0.0.1:7000"))
}

fn invalid(message: String) -> Error {
    Error::new(Kind::InvalidConfig, message)
}
