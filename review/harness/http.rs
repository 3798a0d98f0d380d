//! HTTP/1.1 client and server with a thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Client with one connection, which is kept open between calls.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            stream: None,
        }
    }

    /// Sends one request and reads its response. After an error the connection is closed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<(u16, String)> {
        let result = self.send(method, path, headers, body);
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<(u16, String)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.timeout))?;
            stream.set_write_timeout(Some(self.timeout))?;
            self.stream = Some(BufReader::new(stream));
        }
        let stream = self.stream.as_mut().expect("connected");
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            head += &format!("Host: {}\r\n", self.address);
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.get_mut().write_all(head.as_bytes())?;
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let fields = read_fields(stream)?;
        let body = read_body(stream, &fields)?;
        if fields.get("connection").is_some_and(|v| v == "close") {
            self.stream = None;
        }
        Ok((status, body))
    }
}

/// Sends one request over a connection of its own.
pub fn call(
    address: SocketAddr,
    timeout: Duration,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<(u16, String)> {
    Client::new(address, timeout).call(method, path, headers, body)
}

fn read_fields(stream: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(fields);
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(stream: &mut impl Read, fields: &HashMap<String, String>) -> io::Result<String> {
    let length = fields.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData.into())
}

pub struct Request {
    pub path: String,
    pub fields: HashMap<String, String>,
    pub body: String,
}

/// Response, or `None` to close the connection without one.
pub type Reply = Option<(u16, String)>;

/// Server that can be taken down at once, as by a crash.
pub struct Server {
    address: SocketAddr,
    down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(&Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stop, open) = (Arc::clone(&down), Arc::clone(&streams));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    open.lock().expect("streams").push(copy);
                }
                let (handler, stop) = (Arc::clone(&handler), Arc::clone(&stop));
                std::thread::spawn(move || {
                    // An error means that the peer has closed the connection.
                    let _ = serve(stream, &*handler, &stop);
                });
            }
        });
        Ok(Self {
            address,
            down,
            streams,
        })
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.down.store(true, Ordering::SeqCst);
        // Wakes the listener's thread.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: TcpStream,
    handler: &dyn Fn(&Request) -> Reply,
    down: &AtomicBool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let fields = read_fields(&mut stream)?;
        let body = read_body(&mut stream, &fields)?;
        let reply = handler(&Request { path, fields, body });
        let Some((status, text)) = reply.filter(|_| !down.load(Ordering::SeqCst)) else {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
            return Ok(());
        };
        let reply = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.get_mut().write_all(reply.as_bytes())?;
    }
}
