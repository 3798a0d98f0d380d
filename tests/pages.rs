//! Checks that the documentation and the examples agree with the code.

use std::collections::BTreeSet;

use plantaincross::error::Kind;
use plantaincross::event::Event;

macro_rules! page {
    ($name:literal) => {
        include_str!(concat!("../docs/", $name))
    };
}

#[test]
fn catalogue_lists_every_event_once() {
    let page = page!("EVENTS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|l| l.starts_with("| "))
        .skip(1)
        .collect();
    assert_eq!(rows.len(), Event::CATALOGUE.len());
    for (number, name) in Event::CATALOGUE {
        let start = format!("| {number} | {name} |");
        assert!(rows.iter().any(|row| row.starts_with(&start)), "{start}");
    }
    let numbers: BTreeSet<u16> = Event::CATALOGUE.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers.len(), Event::CATALOGUE.len());
}

#[test]
fn callers_page_lists_every_kind_they_meet() {
    let page = page!("CALLERS.md");
    let for_operators = [
        Kind::VersionConflict,
        Kind::InvalidConfig,
        Kind::BadAnnouncement,
    ];
    for kind in Kind::ALL.into_iter().filter(|k| !for_operators.contains(k)) {
        let answer = kind.answer();
        let row = page
            .lines()
            .find(|line| line.starts_with("| `") && line.contains(&format!("`{}`", answer.name)))
            .unwrap_or_else(|| panic!("{kind} is not on the page"));
        assert!(row.contains(&answer.status.to_string()), "{row}");
        assert!(row.contains(&answer.run.to_string()), "{row}");
    }
}

#[test]
fn examples_merge_without_faults() {
    for name in ["local", "qasr-al-warraq", "cascade-strapworks"] {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(name);
        let sources = plantaincross::config::read_folder(&folder).expect("reads");
        plantaincross::config::merge(&sources).expect("merges");
    }
}

#[test]
fn events_after_a_message_sort_after_its_sender() {
    use plantaincross::event::Ring;

    // The wall clock of the second instance is 10 s behind.
    let (mut ahead, mut behind) = (Ring::new("a".to_owned()), Ring::new("b".to_owned()));
    ahead.push(20_000, Event::Draining {});
    behind.push(9_000, Event::Draining {});
    behind.merge(ahead.stamp(), 10_000);
    behind.push(10_001, Event::Stopped {});
    let sent = ahead.after(0, 10)[0].at;
    let records = behind.after(0, 10);
    assert!(records[0].at < sent && records[1].at > sent);
}
