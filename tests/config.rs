//! Merging and validation of configuration folders.

use plantaincross::change::Change;
use plantaincross::config::{Source, merge};
use plantaincross::core::registry::Command;

fn source(name: &str, text: &str) -> Source {
    Source {
        name: name.to_owned(),
        text: text.to_owned(),
    }
}

fn faults(text: &str) -> String {
    let faults = merge(&[source("a.ini", text)]).expect_err("has faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

macro_rules! refuses {
    ($($name:ident: $text:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(faults($text), $expected); })*
    };
}

refuses! {
    unknown_section: "[teem a]\nshare = 1\n" => "a.ini:1: unknown section [teem a]";
    unknown_key: "[team a]\nshare = 1\nlimit = 2\nshear = 3\n" => "a.ini:4: unknown key `shear` in [team]";
    wrong_type: "[team a]\nshare = much\nlimit = 2\n" => "a.ini:2: `much` is not a whole number in range\na.ini:2: team a needs a share of at least 1";
    wrong_unit: "[service s]\ndeadline = 5 parsecs\n" => "a.ini:2: `5 parsecs` is not a duration (units: ms, s, m, h)";
    section_twice: "[team a]\nshare = 1\nlimit = 1\n[team a]\nlimit = 2\n" => "a.ini:4: section [team a] stands twice";
    share_of_zero: "[team a]\nshare = 0\nlimit = 1\n" => "a.ini:2: team a needs a share of at least 1";
    limit_above_fleet: "[cell]\nfleet = 5\n[team a]\nshare = 1\nlimit = 6\n" => "a.ini:5: limit 6 is above the fleet of 5";
    unknown_team: "[service s]\nopen = ghost\n" => "a.ini:2: team ghost does not exist";
    key_outside: "share = 1\n" => "a.ini:1: key outside of any section";
    bad_name: "[team a/b]\n" => "a.ini:1: [team a/b] needs a name of letters, digits, `-`, `_` or `.`";
}

#[test]
fn later_files_override_earlier_ones() {
    let first = source("10.ini", "[team a]\nshare = 1\nlimit = 2\n");
    let second = source("20.ini", "[team a]\nlimit = 7\n");
    let config = merge(&[first, second]).expect("merges");
    assert_eq!(config.teams["a"].share, 1);
    assert_eq!(config.teams["a"].limit, 7);
}

#[test]
fn change_leads_from_one_configuration_to_the_next() {
    let one = merge(&[source(
        "a.ini",
        "[team a]\nshare = 1\nlimit = 2\n[team b]\nshare = 1\nlimit = 2\n[queue q]\n",
    )])
    .expect("merges");
    let two = merge(&[source(
        "a.ini",
        "[cell]\nfleet = 9\n[team a]\nshare = 1\nlimit = 2\n[team c]\nshare = 5\nlimit = 2\n",
    )])
    .expect("merges");
    for (old, new) in [(&one, &two), (&two, &one), (&one, &one)] {
        assert_eq!(Change::between(old, new).applied_to(old), *new);
    }
}

#[test]
fn one_changed_team_of_220_travels_in_a_small_message() {
    let text = |share: u32| -> String {
        (0..220)
            .map(|at| {
                let share = if at == 7 { share } else { 1 };
                format!("[team team-{at}]\nshare = {share}\nlimit = 500\n")
            })
            .collect()
    };
    let one = merge(&[source("a.ini", &text(1))]).expect("merges");
    let two = merge(&[source("a.ini", &text(2))]).expect("merges");
    let command = Command::push(1, &one, &two, "operator");
    let size = postcard::to_allocvec(&command).expect("encodes").len();
    // 18,000 changes a day are replicated to 21 instances within 5 KB per second.
    assert!(size < 1_100, "{size} bytes");
}

#[test]
fn digest_depends_on_content_only() {
    let one = merge(&[source("a.ini", "[team a]\nshare = 1\nlimit = 2\n")]).expect("merges");
    let two = merge(&[
        source("b.ini", "[team a]\nlimit = 2\n"),
        source("c.ini", "[team a]\n; a comment\nshare = 1\n"),
    ])
    .expect("merges");
    assert_eq!(one.digest(), two.digest());
}
