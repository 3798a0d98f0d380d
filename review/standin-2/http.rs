//! HTTP/1.1 client and server with one thread a connection.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Request as a server receives it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Response = Option<(u16, String)>;

/// Serves requests at an address in background threads.
pub fn serve<F>(address: SocketAddr, handle: F) -> Result<()>
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                // An error means that the peer closed the connection.
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Response) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let request = Request {
            path: words.nth(1).unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handle(request) else {
            return Ok(());
        };
        let length = body.len();
        write!(
            writer,
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )?;
    }
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut impl BufRead) -> Result<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok((first.trim_end().to_owned(), headers, body))
}

/// Sends a request on a connection of its own and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let length = body.len();
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let mut writer = stream.try_clone()?;
    writer.write_all(text.as_bytes())?;
    writer.write_all(body.as_bytes())?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.ok_or_else(|| Error::other("no status"))?, body))
}
