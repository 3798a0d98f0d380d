//! A small HTTP client for the command line, the load generator and the simulated upstreams
//! and workers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Error, Kind, Result};

/// Time limit to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one address that keeps one connection open.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
    timeout: Duration,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Client {
    /// Creates a client. It connects on the first request.
    pub const fn new(address: SocketAddr, token: Option<String>, timeout: Duration) -> Self {
        Self {
            address,
            token,
            timeout,
            sender: None,
        }
    }

    /// Sends a request and reads the complete response. The `host` header is the address
    /// unless `headers` contain another.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed, the connection fails or the client's timeout passes.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Bytes>> {
        let mut builder = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            builder = builder.header("host", self.address.to_string());
        }
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Full::new(body.into()))
            .map_err(|err| Error::new(Kind::BadRequest, err.to_string()))?;
        let sent = timeout(self.timeout, self.exchange(request)).await;
        match sent {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) => {
                self.sender = None;
                Err(err)
            }
            Err(_) => {
                self.sender = None;
                let message = format!("{} did not answer in time", self.address);
                Err(Error::new(Kind::NoQuorum, message))
            }
        }
    }

    /// Sends a JSON body and decodes a JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent, or with the error that the instance returned.
    pub async fn call<T: DeserializeOwned>(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T> {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).expect("body encodes"),
            None => Vec::new(),
        };
        let headers = [("content-type", "application/json")];
        let response = self.send(method, path, &headers, bytes).await?;
        read(&response)
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let exchange_error = |err: &dyn std::fmt::Display| {
            Error::new(Kind::UpstreamFailed, format!("{}: {err}", self.address))
        };
        let mut sender = match self.sender.take().filter(|s| s.is_ready()) {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let response = sender
            .send_request(request)
            .await
            .map_err(|err| exchange_error(&err))?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|err| exchange_error(&err))?;
        self.sender = Some(sender);
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Decodes a JSON response.
///
/// # Errors
///
/// Fails with the error in the body if the status is not a success, and with
/// [`Kind::BadAnswer`] if the body cannot be decoded.
pub fn read<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    if response.status().is_success() {
        return serde_json::from_slice(response.body())
            .map_err(|err| Error::new(Kind::BadAnswer, err.to_string()));
    }
    Err(
        serde_json::from_slice::<Error>(response.body()).unwrap_or_else(|_| {
            let text = String::from_utf8_lossy(response.body());
            let message = format!("{}: {}", response.status(), text.trim());
            Error::new(Kind::BadAnswer, message)
        }),
    )
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let unreachable =
        |message: String| Error::new(Kind::UpstreamUnreachable, format!("{address}: {message}"));
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable("connection timed out".to_owned()))?
        .map_err(|err| unreachable(err.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|err| unreachable(err.to_string()))?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|err| unreachable(err.to_string()))?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(sender)
}
