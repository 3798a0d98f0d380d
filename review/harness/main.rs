//! Cases of the review that run the real programs. Usage: `harness CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod path;
mod record;
mod worker;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A case is ended after this time, in seconds.
const LIMIT_S: u64 = 117;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        exit(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.write(&format!("case {case}, disruption: {trouble}"));
    let watch = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(LIMIT_S));
        watch.write("the case took too long");
        cell::signal_all(cell::SIGKILL);
        exit(2);
    });
    let run = || cases::run(case, trouble, &record);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    cell::signal_all(cell::SIGKILL);
    let (word, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Ok(Verdict::CouldNotRun) | Err(_) => ("the case could not run", 2),
    };
    record.write(word);
    println!("{case}: {word}");
    exit(code);
}
