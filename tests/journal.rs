//! Tests of the log: format of a line, rate limit and behaviour with a stalled reader.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use plantaincross::cell::journal::{Journal, LINES_PER_SECOND, Line};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("sink lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Sink whose writes block, as with a reader that has stalled.
struct StalledSink;

impl Write for StalledSink {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn peer_down(n: u64) -> Line {
    Line::PeerDown {
        peer: format!("i{n}"),
    }
}

#[test]
fn line_is_an_object_with_time_instance_and_event() {
    let sink = Sink::default();
    let (journal, guard) = Journal::new("one", sink.clone());
    journal.write(&peer_down(7));
    drop(guard);
    let bytes = sink.0.lock().expect("sink lock").clone();
    let value: serde_json::Value = serde_json::from_slice(&bytes).expect("one JSON line");
    assert_eq!(value["instance"], "one");
    assert_eq!(value["event"], "peer_down");
    assert_eq!(value["peer"], "i7");
    assert!(value["at_ms"].as_u64().is_some());
}

#[test]
fn lines_above_the_rate_limit_are_suppressed_and_counted() {
    let sink = Sink::default();
    let (journal, guard) = Journal::new("one", sink.clone());
    let sent = 10 * u64::from(LINES_PER_SECOND);
    for n in 0..sent {
        journal.write(&peer_down(n));
    }
    std::thread::sleep(Duration::from_millis(1_100));
    journal.write(&peer_down(sent));
    drop(guard);
    let bytes = sink.0.lock().expect("sink lock").clone();
    let text = String::from_utf8(bytes).expect("text");
    let mut written = 0;
    let mut suppressed = 0;
    for line in text.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
        match value["event"].as_str() {
            Some("left_out") => suppressed += value["count"].as_u64().expect("a count"),
            _ => written += 1,
        }
    }
    assert_eq!(
        written + suppressed,
        sent + 1,
        "every line is either written or counted as suppressed"
    );
    // The lines may spread over up to three windows of one second.
    assert!(written <= 3 * u64::from(LINES_PER_SECOND));
}

#[test]
fn stalled_reader_does_not_block_writers() {
    let (journal, guard) = Journal::new("one", StalledSink);
    let began = Instant::now();
    for n in 0..100_000 {
        journal.write(&peer_down(n));
    }
    assert!(began.elapsed() < Duration::from_secs(10));
    // Dropping the guard would block on the stalled sink.
    std::mem::forget(guard);
}
