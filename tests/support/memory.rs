//! Memory of a process together with what the kernel holds unread for it.
#![allow(dead_code)]

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Unit of a machine's memory and disk, in bytes.
pub const MEGABYTE: usize = 1_000_000;

/// Returns the bytes that have arrived on connections to `ip`, and to `port` if it is given, and
/// were not read by the process that listens there.
pub fn unread_bytes(ip: Ipv4Addr, port: Option<u16>) -> usize {
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").expect("table of connections");
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let local = parse_address(fields.get(1)?)?;
        let is_counted = *local.ip() == ip && port.is_none_or(|port| local.port() == port);
        // The queue of a listening socket holds connections.
        if !is_counted || *fields.get(3)? == LISTENING {
            return None;
        }
        let (_, unread) = fields.get(4)?.split_once(':')?;
        usize::from_str_radix(unread, 16).ok()
    });
    unread.sum()
}

fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    // The address is printed as a number in the byte order of the machine.
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(SocketAddrV4::new(
        ip.into(),
        u16::from_str_radix(port, 16).ok()?,
    ))
}

/// Returns the resident memory of a process, in bytes; `None` if it has ended.
pub fn resident_bytes(pid: u32) -> Option<usize> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kb: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kb << 10)
}

/// Returns the size of all files in a folder, in bytes.
pub fn folder_bytes(folder: &Path) -> usize {
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = files.filter_map(|file| file.metadata().ok());
    sizes.map(|metadata| metadata.len() as usize).sum()
}

/// Samples the memory of a process until it is stopped.
pub struct Watch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl Watch {
    /// Starts to sample a process that listens at `ip`, and only at `port` if it is given.
    pub fn start(pid: u32, ip: Ipv4Addr, port: Option<u16>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let mut peak = 0;
            while !flag.load(Ordering::Relaxed) {
                let resident = resident_bytes(pid).unwrap_or(0);
                peak = peak.max(resident + unread_bytes(ip, port));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { stopped, thread }
    }

    /// Returns the largest sum of resident memory and unread bytes, in bytes.
    pub fn stop(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("samples")
    }
}
