//! A network path to one address. While a direction is cut, its bytes wait, as in the send
//! buffer of their sender's kernel, and arrive when the cut heals.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Time that a segment takes: the largest deployment's sheets say 0.5 to 1.4 ms one way.
const LATENCY: Duration = Duration::from_millis(1);

pub struct Path {
    pub address: SocketAddr,
    /// Whether the direction to the target is cut.
    pub cut_there: Arc<AtomicBool>,
    /// Whether the direction from the target is cut.
    pub cut_back: Arc<AtomicBool>,
}

impl Path {
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the path's address is free");
        let cut_there: Arc<AtomicBool> = Arc::default();
        let cut_back: Arc<AtomicBool> = Arc::default();
        let (there, back) = (Arc::clone(&cut_there), Arc::clone(&cut_back));
        spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let copies = (client.try_clone(), server.try_clone());
                let (Ok(client_copy), Ok(server_copy)) = copies else {
                    continue;
                };
                // A failure only adds latency.
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (there, back) = (Arc::clone(&there), Arc::clone(&back));
                spawn(move || copy(client, server, &there));
                spawn(move || copy(server_copy, client_copy, &back));
            }
        });
        Self {
            address,
            cut_there,
            cut_back,
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        while cut.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(5));
        }
        sleep(LATENCY);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            // Fails if the other end is closed already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
