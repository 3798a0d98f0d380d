//! Limits on the number of clients' connections and on the time that their reads and writes
//! take.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use plantaincross::ingress::{BUDGET_MIN_BYTES, Budget, Connections, Limits};
use plantaincross::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::time::{Instant, sleep};

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(600);
const BUFFER_BYTES: usize = 64;

const fn limits(head: Duration, idle: Duration, write: Duration) -> Limits {
    Limits {
        head,
        idle,
        write,
        stall: write,
        response: LONG,
    }
}

// A client that does not read its response kept it in memory without a time limit.
#[tokio::test]
async fn write_without_progress_fails() {
    let connections = Connections::new(1, limits(LONG, LONG, SHORT));
    let (connection, _) = connections.add(Instant::now()).expect("below the limit");
    let (_client, server) = duplex(BUFFER_BYTES);
    let written = connection.stream(server).write_all(&[0; 1_000]).await;
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
}

// The limit counts from the latest progress: a slow client gets its whole response.
#[tokio::test]
async fn response_is_delivered_to_a_slow_client() {
    let connections = Connections::new(1, limits(LONG, LONG, 5 * SHORT));
    let (connection, _) = connections.add(Instant::now()).expect("below the limit");
    let (mut client, server) = duplex(BUFFER_BYTES);
    let mut stream = connection.stream(server);
    let write = async { stream.write_all(&[0; 16 * BUFFER_BYTES]).await };
    let read = async {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..16 {
            sleep(SHORT).await;
            client.read_exact(&mut buffer).await.expect("read");
        }
    };
    let (written, ()) = tokio::join!(write, read);
    written.expect("written");
}

macro_rules! reads_fail {
    ($($name:ident: $limits:expr, $sent:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let connections = Connections::new(1, $limits);
            let (connection, _) = connections.add(Instant::now()).expect("below the limit");
            let (mut client, server) = duplex(BUFFER_BYTES);
            client.write_all($sent).await.expect("sent");
            let mut received = Vec::new();
            let read = connection.stream(server).read_to_end(&mut received).await;
            assert_eq!(read.unwrap_err().kind(), ErrorKind::TimedOut);
            assert_eq!(received, $sent);
        })*
    };
}

// Connections that stall before or within a head must end.
reads_fail! {
    idle_connection_ends: limits(LONG, SHORT, LONG), b"";
    incomplete_head_ends: limits(SHORT, LONG, LONG), b"GET / ";
}

// The time limits of heads and idle connections must not end a request that takes longer.
#[tokio::test]
async fn request_under_way_may_take_longer() {
    let connections = Connections::new(1, limits(SHORT, SHORT, LONG));
    let (connection, _) = connections.add(Instant::now()).expect("below the limit");
    let (mut client, server) = duplex(BUFFER_BYTES);
    let mut stream = connection.stream(server);
    let under_way = connection.begin();
    let send = async {
        sleep(3 * SHORT).await;
        client.write_all(b"x").await.expect("sent");
    };
    let (received, ()) = tokio::join!(stream.read_u8(), send);
    assert_eq!(received.expect("received"), b'x');
    drop(under_way);
    let ended = stream.read_u8().await;
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::TimedOut);
}

// At the limit new connections were closed, so that silent ones kept ordinary clients out.
#[tokio::test]
async fn the_connection_that_waited_longest_makes_room() {
    let connections = Connections::new(3, limits(LONG, LONG, LONG));
    let now = Instant::now();
    let add = |at: u64| connections.add(now + Duration::from_secs(at));
    let (busy, _) = add(0).expect("below the limit");
    let request = busy.begin();
    let (older, _) = add(1).expect("below the limit");
    let (newer, _) = add(2).expect("below the limit");
    let (added, has_evicted) = add(3).expect("makes room");
    assert!(has_evicted);
    assert_eq!(connections.count(), 3);
    older.evicted().await;
    // Dropping an evicted connection must not free another place.
    drop(older);
    assert_eq!(connections.count(), 3);
    let requests = (newer.begin(), added.begin());
    assert!(add(4).is_none(), "a request under way was ended");
    drop((request, requests));
    assert!(add(5).is_some());
}

// Each instance of `plantaincross local` accepted as many connections as a whole process may.
#[test]
fn instances_of_one_process_share_its_limits() {
    let address = ([127, 0, 0, 1], 1).into();
    let mut settings = Settings::new("a", "z", address, address, b"secret");
    let (connections, budget) = (settings.connections, settings.receive_budget_bytes);
    settings.divide(4);
    assert_eq!(settings.connections, connections / 4);
    assert_eq!(settings.receive_budget_bytes, budget / 4);
    settings.divide(connections);
    assert_eq!(settings.connections, 1);
}

// Responses that are ready count until they are sent or dropped, and connections whose clients do
// not read them can be closed.
#[tokio::test]
async fn long_responses_count_until_they_are_sent() {
    let budget = Budget::new(BUDGET_MIN_BYTES);
    let connections = Connections::new(1, limits(LONG, LONG, LONG));
    let (connection, _) = connections.add(Instant::now()).expect("below the limit");
    let body = Full::new(Bytes::from(vec![0; BUDGET_MIN_BYTES]));
    let mut reply = connection.begin().until_sent(body, &budget);
    assert!(!budget.has_unsent_responses());
    let frame = reply.frame().await;
    assert!(budget.has_unsent_responses());
    connections.evict_slow_readers(Instant::now());
    assert_eq!(connections.count(), 1, "it has just begun");
    connections.evict_slow_readers(Instant::now() + 2 * LONG);
    assert_eq!(connections.count(), 0);
    connection.evicted().await;
    drop(frame);
    assert!(!budget.has_unsent_responses());
}
