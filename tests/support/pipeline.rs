//! Clients that send requests without end and read no response.
#![allow(dead_code)]

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that a client sends before the next one's turn.
const PIECE_BYTES: usize = 64 << 10;
/// Time without progress on any connection after which the crowd has stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which the crowd sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens connections and sends `bytes` on each until no connection takes any more. Returns the
/// connections, which stay open.
pub fn send_without_reading(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    // A refused connection is an allowed answer.
    let opened = (0..count).filter_map(|_| TcpStream::connect(address).ok());
    let mut clients: Vec<(TcpStream, usize)> = opened.map(|stream| (stream, 0)).collect();
    for (stream, _) in &clients {
        stream.set_nonblocking(true).expect("a socket");
    }
    let start = Instant::now();
    let mut progress_at = start;
    while progress_at.elapsed() < STALL_TIMEOUT && start.elapsed() < SEND_TIMEOUT {
        for (stream, sent) in &mut clients {
            let piece = &bytes[*sent..bytes.len().min(*sent + PIECE_BYTES)];
            match stream.write(piece) {
                Ok(length) if length > 0 => {
                    *sent += length;
                    progress_at = Instant::now();
                }
                Err(err) if err.kind() != ErrorKind::WouldBlock => *sent = bytes.len(),
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    clients.into_iter().map(|(stream, _)| stream).collect()
}
