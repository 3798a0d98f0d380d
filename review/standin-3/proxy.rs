//! Proxy that carries a link between two processes and can be cut in either direction. What is
//! sent in a direction while it is cut arrives once the cut is over, as with packets that are
//! sent again until they arrive.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which data that is held up looks for the end of the cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Directions of a link that are cut at present.
#[derive(Debug, Default)]
pub struct Cut {
    /// From the process that connects to the one that listens.
    pub forth: AtomicBool,
    /// From the process that listens to the one that connects.
    pub back: AtomicBool,
}

/// Starts a proxy on `listener` to `target`.
pub fn start(listener: TcpListener, target: SocketAddr, cut: Arc<Cut>) {
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = Arc::clone(&cut);
            thread::spawn(move || carry(near, target, &cut));
        }
    });
}

fn carry(near: TcpStream, target: SocketAddr, cut: &Arc<Cut>) -> Option<()> {
    // A connection that is opened during a cut is established once the link is back.
    while cut.forth.load(Ordering::SeqCst) || cut.back.load(Ordering::SeqCst) {
        thread::sleep(CHECK_INTERVAL);
    }
    let far = TcpStream::connect(target).ok()?;
    near.set_nodelay(true).ok()?;
    far.set_nodelay(true).ok()?;
    let (near_reader, far_writer) = (near.try_clone().ok()?, far.try_clone().ok()?);
    let forth = Arc::clone(cut);
    thread::spawn(move || copy(near_reader, far_writer, || &forth.forth));
    copy(far, near, || &cut.back);
    Some(())
}

fn copy<'a>(mut from: TcpStream, mut to: TcpStream, cut: impl Fn() -> &'a AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(read) if read > 0 => read,
            _ => break,
        };
        while cut().load(Ordering::SeqCst) {
            thread::sleep(CHECK_INTERVAL);
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    // The other direction ends with its own connection.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
