//! A TCP relay that can drop all data without closing its connections, like a firewall or NAT
//! that has lost its connection state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A running relay to one address.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("port");
        let relay = Self {
            address: listener.local_addr().expect("address"),
            dropping: Arc::default(),
        };
        let dropping = Arc::clone(&relay.dropping);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let dropping = Arc::clone(&dropping);
                tokio::spawn(async move {
                    if let Ok(target_stream) = TcpStream::connect(target).await {
                        forward_both(client, target_stream, dropping).await;
                    }
                });
            }
        });
        relay
    }

    /// Starts or stops dropping data. Connections that lost data stay broken.
    pub fn set_dropping(&self, dropping: bool) {
        self.dropping.store(dropping, Ordering::Relaxed);
    }
}

async fn forward_both(client: TcpStream, target_stream: TcpStream, dropping: Arc<AtomicBool>) {
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let lost: Arc<AtomicBool> = Arc::default();
    let to_target = forward(
        client_read,
        target_write,
        Arc::clone(&dropping),
        Arc::clone(&lost),
    );
    let to_client = forward(target_read, client_write, dropping, lost);
    tokio::select! {
        () = to_target => {}
        () = to_client => {}
    }
}

// Forwards data in one direction. A connection that lost data never forwards any again.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    dropping: Arc<AtomicBool>,
    lost: Arc<AtomicBool>,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        if count == 0 {
            // A broken connection does not forward the end of the stream either.
            while lost.load(Ordering::Relaxed) {
                sleep(Duration::from_secs(1)).await;
            }
            return;
        }
        if dropping.load(Ordering::Relaxed) {
            lost.store(true, Ordering::Relaxed);
        }
        if lost.load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
