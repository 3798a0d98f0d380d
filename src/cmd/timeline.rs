//! `plantaincross timeline [--also ADDRESS] [--only TEXT] [--number N] [--follow]`:
//! prints the events of several instances in order of time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Connection, block_on, print};
use crate::client::Client;
use crate::error::Result;
use crate::event::Record;
use crate::http::Events;

/// Interval between requests for new events with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Merges the events of several instances into one timeline.
///
/// Every instance keeps its latest 20,000 events. Sends one request to each instance,
/// and with `--follow` another every half second.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// HTTP address of a further instance; repeat for several
    #[arg(long)]
    also: Vec<SocketAddr>,
    /// Only events whose line contains this text, such as the id of a request, job, team
    /// or instance; if repeated, all must match
    #[arg(long)]
    only: Vec<String>,
    /// Only events with this number; repeat for several
    #[arg(long)]
    number: Vec<u16>,
    /// Keep printing new events until interrupted
    #[arg(long)]
    follow: bool,
    #[command(flatten)]
    connection: Connection,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an instance cannot be reached or rejects the request.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let mut clients = vec![args.connection.client()?];
        for &at in &args.also {
            let connection = Connection {
                at,
                ..args.connection.clone()
            };
            clients.push(connection.client()?);
        }
        let mut last_seqs = vec![0; clients.len()];
        loop {
            for record in fetch(&mut clients, &mut last_seqs).await? {
                let line = format_line(&record);
                if is_selected(args, &record, &line) {
                    print(line)?;
                }
            }
            if !args.follow {
                return Ok(());
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    })
}

/// Fetches the records after the last seen sequence number of every instance and
/// merges them in order of time.
async fn fetch(clients: &mut [Client], last_seqs: &mut [u64]) -> Result<Vec<Record>> {
    let mut merged = BTreeMap::new();
    for (client, seen) in clients.iter_mut().zip(last_seqs) {
        loop {
            let path = format!("/v1/events?after={seen}");
            let events: Events = client.call("GET", &path, None::<&()>).await?;
            let Some(last) = events.records.last() else {
                break;
            };
            *seen = last.seq;
            for record in events.records {
                merged.insert((record.at, record.instance.clone(), record.seq), record);
            }
        }
    }
    Ok(merged.into_values().collect())
}

fn format_line(record: &Record) -> String {
    let event = serde_json::to_value(&record.event).expect("event encodes");
    let fields: Vec<String> = event
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(key, _)| *key != "event")
        .map(|(key, value)| match value.as_str() {
            Some(text) => format!("{key}={text}"),
            None => format!("{key}={value}"),
        })
        .collect();
    format!(
        "{}.{:03} {} {} {} {}",
        record.at.millis,
        record.at.count,
        record.instance,
        record.number,
        record.event.name(),
        fields.join(" ")
    )
}

fn is_selected(args: &Args, record: &Record, line: &str) -> bool {
    let by_number = args.number.is_empty() || args.number.contains(&record.number);
    by_number && args.only.iter().all(|text| line.contains(text))
}
