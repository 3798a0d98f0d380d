//! Reads, merges and validates a configuration folder.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use ini::Ini;
use serde::{Deserialize, Serialize};

use crate::config::{
    Cell, Config, NAME_MAX_BYTES, Order, Policy, Queue, SHARE_MAX, Service, StaleKeys, Team,
};
use crate::util::{parse_duration, parse_size};

/// One error in a configuration folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// File name within the folder.
    pub file: String,
    /// Line number from 1, or 0 if the error concerns the whole file.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// One file of a configuration folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// File name within the folder.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// Reads the `.ini` files of a folder, sorted by name.
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be read.
pub fn read_folder(folder: &Path) -> std::io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|ext| ext != "ini") {
            continue;
        }
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        sources.push(Source {
            name: name.to_owned(),
            text: std::fs::read_to_string(&path)?,
        });
    }
    sources.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(sources)
}

/// Merges files in the given order; later values override earlier ones.
///
/// # Errors
///
/// Returns all errors found, sorted by file and line.
pub fn merge(sources: &[Source]) -> Result<Config, Vec<Fault>> {
    let mut merger = Merger::default();
    for source in sources {
        merger.add(source);
    }
    merger.check_references();
    if merger.faults.is_empty() {
        Ok(merger.config)
    } else {
        merger.faults.sort();
        Err(merger.faults)
    }
}

/// File and line of a value, for errors found after merging.
#[derive(Clone, Debug)]
struct Origin {
    file: String,
    line: usize,
}

#[derive(Default)]
struct Merger {
    config: Config,
    faults: Vec<Fault>,
    /// Origins by section and key; the key is empty for the section itself.
    origins: BTreeMap<(String, String), Origin>,
}

impl Merger {
    fn add(&mut self, source: &Source) {
        let ini = match Ini::load_from_str(&source.text) {
            Ok(ini) => ini,
            Err(err) => {
                self.add_fault(&source.name, err.line, err.msg.to_string());
                return;
            }
        };
        let mut section_counts: BTreeMap<String, usize> = BTreeMap::new();
        for (section, values) in &ini {
            let Some(section) = section else {
                if let Some((key, _)) = values.iter().next() {
                    let line = line_of(&source.text, "", 0, Some(key));
                    self.add_fault(&source.name, line, "key outside of any section");
                }
                continue;
            };
            let nth = *section_counts.get(section).unwrap_or(&0);
            section_counts.insert(section.to_owned(), nth + 1);
            let section_line = line_of(&source.text, section, nth, None);
            if nth > 0 {
                self.add_fault(
                    &source.name,
                    section_line,
                    format!("section [{section}] stands twice"),
                );
                continue;
            }
            self.add_section(source, section, section_line);
            for (key, value) in values.iter() {
                let line = line_of(&source.text, section, nth, Some(key));
                if let Err(message) = self.add_value(section, key, value) {
                    self.add_fault(&source.name, line, message);
                }
                let origin = Origin {
                    file: source.name.clone(),
                    line,
                };
                self.origins
                    .insert((section.to_owned(), key.to_owned()), origin);
            }
        }
    }

    fn add_section(&mut self, source: &Source, section: &str, line: usize) {
        let origin = Origin {
            file: source.name.clone(),
            line,
        };
        self.origins
            .entry((section.to_owned(), String::new()))
            .or_insert(origin);
        let (kind, name) = split_section(section);
        if kind != "cell" && !is_name(name) {
            let message = format!("[{section}] needs a name of letters, digits, `-`, `_` or `.`");
            self.add_fault(&source.name, line, message);
            return;
        }
        match kind {
            "cell" if name.is_empty() => {}
            "team" => {
                self.config.teams.entry(name.to_owned()).or_insert(Team {
                    share: 0,
                    limit: 0,
                    stale_keys: StaleKeys::Refuse,
                });
            }
            "service" => {
                self.config.services.entry(name.to_owned()).or_default();
            }
            "queue" => {
                self.config.queues.entry(name.to_owned()).or_default();
            }
            _ => self.add_fault(&source.name, line, format!("unknown section [{section}]")),
        }
    }

    fn add_value(&mut self, section: &str, key: &str, value: &str) -> Result<(), String> {
        let value = value.trim();
        let (kind, name) = split_section(section);
        match kind {
            "cell" => set_cell(&mut self.config.cell, key, value),
            "team" => match self.config.teams.get_mut(name) {
                Some(team) => set_team(team, key, value),
                None => Ok(()),
            },
            "service" => match self.config.services.get_mut(name) {
                Some(service) => set_service(service, key, value),
                None => Ok(()),
            },
            "queue" => match self.config.queues.get_mut(name) {
                Some(queue) => set_queue(queue, key, value),
                None => Ok(()),
            },
            _ => Ok(()),
        }
    }

    fn check_references(&mut self) {
        let mut errors: Vec<(String, String, String)> = Vec::new();
        let fleet = self.config.cell.fleet;
        for (name, team) in &self.config.teams {
            let section = format!("team {name}");
            if team.share == 0 {
                let message = format!("team {name} needs a share of at least 1");
                errors.push((section.clone(), "share".into(), message));
            }
            if team.limit == 0 {
                let message = format!("team {name} needs a limit of at least 1");
                errors.push((section.clone(), "limit".into(), message));
            }
            if fleet > 0 && team.limit > fleet {
                let message = format!("limit {} is above the fleet of {fleet}", team.limit);
                errors.push((section, "limit".into(), message));
            }
        }
        let services = self.config.services.iter();
        let queues = self.config.queues.iter();
        let open_teams = services
            .map(|(name, s)| (format!("service {name}"), &s.open))
            .chain(queues.map(|(name, q)| (format!("queue {name}"), &q.open)));
        for (section, open) in open_teams {
            if let Some(team) = open
                && !self.config.teams.contains_key(team)
            {
                let message = format!("team {team} does not exist");
                errors.push((section, "open".into(), message));
            }
        }
        for (section, key, message) in errors {
            let origin = self
                .origins
                .get(&(section.clone(), key))
                .or_else(|| self.origins.get(&(section, String::new())))
                .cloned();
            let (file, line) =
                origin.map_or((String::new(), 0), |origin| (origin.file, origin.line));
            self.add_fault(&file, line, message);
        }
    }

    fn add_fault(&mut self, file: &str, line: usize, message: impl Into<String>) {
        self.faults.push(Fault {
            file: file.to_owned(),
            line,
            message: message.into(),
        });
    }
}

fn set_cell(cell: &mut Cell, key: &str, value: &str) -> Result<(), String> {
    match key {
        "zones" => {
            cell.zones = value.split_whitespace().map(str::to_owned).collect();
            if let Some(bad) = cell.zones.iter().find(|name| !is_name(name)) {
                return Err(format!("`{bad}` is not a zone name"));
            }
        }
        "fleet" => cell.fleet = number(value)?,
        "freshness" => cell.freshness = bounded(parse_duration(value)?, 500, 3_000)?,
        "claim-retention" => {
            cell.claim_retention = bounded(parse_duration(value)?, 1_000, 86_400_000)?;
        }
        "order" => {
            cell.order = match value {
                "share" => Order::Share,
                "wait" => Order::Wait,
                _ => return Err(format!("`{value}` is neither `share` nor `wait`")),
            }
        }
        _ => return Err(format!("unknown key `{key}` in [cell]")),
    }
    Ok(())
}

fn set_team(team: &mut Team, key: &str, value: &str) -> Result<(), String> {
    match key {
        "share" => {
            team.share = number(value)?;
            if team.share > SHARE_MAX {
                return Err(format!("share is above {SHARE_MAX}"));
            }
        }
        "limit" => team.limit = number(value)?,
        "stale-keys" => {
            team.stale_keys = match value {
                "refuse" => StaleKeys::Refuse,
                "serve" => StaleKeys::Serve,
                _ => return Err(format!("`{value}` is neither `refuse` nor `serve`")),
            }
        }
        _ => return Err(format!("unknown key `{key}` in [team]")),
    }
    Ok(())
}

fn set_service(service: &mut Service, key: &str, value: &str) -> Result<(), String> {
    match key {
        "deadline" => service.deadline = bounded(parse_duration(value)?, 1, 3_600_000)?,
        "run-limit" => service.run_limit = bounded(parse_duration(value)?, 1, 3_600_000)?,
        "body-limit" => service.body_limit = parse_size(value)?,
        "answer-limit" => service.answer_limit = parse_size(value)?,
        "queue-limit" => service.queue_limit = number(value)?,
        "post-idempotent" => service.post_idempotent = yes_or_no(value)?,
        "open" => service.open = Some(value.to_owned()),
        _ => return Err(format!("unknown key `{key}` in [service]")),
    }
    Ok(())
}

fn set_queue(queue: &mut Queue, key: &str, value: &str) -> Result<(), String> {
    match key {
        "policy" => {
            queue.policy = match value {
                "pack" => Policy::Pack,
                "spread" => Policy::Spread,
                _ => return Err(format!("`{value}` is neither `pack` nor `spread`")),
            }
        }
        "open" => queue.open = Some(value.to_owned()),
        _ => return Err(format!("unknown key `{key}` in [queue]")),
    }
    Ok(())
}

fn number<T: std::str::FromStr>(value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("`{value}` is not a whole number in range"))
}

fn yes_or_no(value: &str) -> Result<bool, String> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{value}` is neither `yes` nor `no`")),
    }
}

fn bounded(value: Duration, min_ms: u64, max_ms: u64) -> Result<Duration, String> {
    let (min, max) = (Duration::from_millis(min_ms), Duration::from_millis(max_ms));
    if value < min || value > max {
        return Err(format!("{value:?} is not between {min:?} and {max:?}"));
    }
    Ok(value)
}

fn split_section(section: &str) -> (&str, &str) {
    match section.split_once(char::is_whitespace) {
        Some((kind, name)) => (kind, name.trim()),
        None => (section, ""),
    }
}

/// Returns whether `name` is valid for a team, service, queue, zone, instance, key or job:
/// letters, digits, `-`, `_` and `.`, with limited length.
pub fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.bytes().all(allowed)
}

/// Returns the line number, from 1, of the `nth` section (from 0) with the given name, or of a
/// key in it. Returns 0 if there is none.
pub fn line_of(text: &str, section: &str, nth: usize, key: Option<&str>) -> usize {
    let mut inside = section.is_empty();
    let mut remaining = nth;
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.trim();
        if let Some(head) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            inside = head.trim() == section && remaining == 0;
            if head.trim() == section {
                remaining = remaining.saturating_sub(1);
            }
            if inside && key.is_none() {
                return number;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if inside && key == Some(name) {
            return number;
        }
    }
    0
}
