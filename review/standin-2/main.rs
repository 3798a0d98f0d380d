//! Stand-ins for the cases of the second review: workers, permission service, caller and operator
//! of a small cell of real processes on loopback. Uses the standard library only.

mod cases;
mod cell;
mod http;
mod json;
mod worker;

use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&case, folder.as_ref(), trouble) {
        Ok(true) => println!("held"),
        Ok(false) => {
            println!("broken");
            exit(1);
        }
        Err(err) => {
            eprintln!("could not run: {err}");
            exit(2);
        }
    }
}
