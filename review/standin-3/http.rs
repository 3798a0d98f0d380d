//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Request with its whole body.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Response = Option<(u16, String)>;

/// Serves requests on a listener until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Response + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(&stream, &*handle));
        }
    });
}

fn serve_connection(stream: &TcpStream, handle: &dyn Fn(Request) -> Response) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (start, headers) = read_head(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let mut words = start.split(' ');
        let request = Request {
            path: words.nth(1)?.to_owned(),
            headers,
            body,
        };
        let (status, body) = handle(request)?;
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        (&mut &*stream).write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((start.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Client connection that is kept open between calls.
#[derive(Debug)]
pub struct Client {
    pub address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and returns the response's status and body; `None` if there is none within
    /// the time limit.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let answer = self.attempt(method, path, headers, body, limit);
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }

    fn attempt(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        if self.stream.is_none() {
            self.stream = Some(TcpStream::connect_timeout(&self.address, limit).ok()?);
        }
        let stream = self.stream.as_mut()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_write_timeout(Some(limit)).ok()?;
        let host = if headers.contains("Host:") {
            String::new()
        } else {
            format!("Host: {}\r\n", self.address)
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\n{host}{headers}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body).as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let (start, headers) = read_head(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let status = start.split(' ').nth(1)?.parse().ok()?;
        let closes = headers
            .iter()
            .any(|(name, value)| name == "connection" && value == "close");
        if closes {
            self.stream = None;
        }
        Some((status, body))
    }
}
