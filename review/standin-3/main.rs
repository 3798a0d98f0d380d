//! Stand-ins and scripts of the cases of review 3. Each starts the system's own processes on
//! loopback addresses and exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run.

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod record;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a script ends, whatever it has seen.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case runs with.
#[derive(Debug)]
pub struct Context {
    /// Program of the deploy file.
    pub program: PathBuf,
    /// Temporary folder of this run.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record), Some(program)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD PROGRAM");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-3-{}-{}", case, std::process::id()));
    let program = PathBuf::from(program);
    if !program.exists() || std::fs::create_dir_all(&folder).is_err() {
        eprintln!(
            "no program at {}, or no temporary folder",
            program.display()
        );
        return ExitCode::from(2);
    }
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    let context = Context {
        program,
        folder: folder.clone(),
        record: Arc::clone(&record),
        trouble,
    };
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        cell::kill_all();
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "11" => cases::departure(&context),
        "12" => cases::long_task(&context),
        "13" => cases::large_gang(&context),
        "14" => cases::innocent_task(&context),
        "15" => cases::kept_worker(&context),
        _ => Verdict::NotRun,
    };
    record.line(&format!("verdict: {verdict:?}"));
    println!("case {case}, disruption {trouble}: {verdict:?}");
    cell::kill_all();
    // Logs of a failed run are of use to its reader.
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
