//! Mutual authentication with the cell secret when a link is opened.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::wire::{Challenge, FRAME_MAX_BYTES, Hello, Proof, VERSION};

/// Time-out for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest frame accepted before the peer is authenticated, in bytes.
const HANDSHAKE_FRAME_MAX_BYTES: usize = 1_024;
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// Side of a connection. It is part of the MAC, so that a proof cannot be reflected to its
/// sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Acceptor,
}

impl Side {
    const fn tag(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Acceptor => b"acceptor",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

/// Error for a link that could not be established.
#[derive(Debug, Snafu)]
pub enum Refusal {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// I/O error of the connection.
        source: std::io::Error,
    },
    /// The peer closed the connection, or connecting or the handshake timed out.
    #[snafu(display("connection closed or timed out during the handshake"))]
    Closed,
    /// A handshake message could not be decoded, or the address to dial is not a socket
    /// address.
    #[snafu(display("malformed handshake message or peer address"))]
    Malformed,
    /// The peer uses another protocol version.
    #[snafu(display("protocol version mismatch: peer has {theirs}, this instance has {VERSION}"))]
    Version {
        /// Protocol version of the peer.
        theirs: u32,
    },
    /// The peer's proof does not match the cell secret of this instance.
    #[snafu(display("cell secret of the peer does not match"))]
    Secret,
}

/// Performs the handshake: both sides exchange a nonce and then a proof, an HMAC under the
/// cell secret over both nonces and the sender's `Hello`. Returns the peer's `Hello` and the
/// framed stream.
///
/// # Errors
///
/// Fails on an I/O error or a malformed message, if the peer closes the connection, if the
/// protocol versions differ or if the peer's proof does not match the secret.
pub async fn authenticate<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    side: Side,
    secret: &[u8],
    hello: &Hello,
) -> Result<(Hello, Framed<S, LengthDelimitedCodec>), Refusal> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HANDSHAKE_FRAME_MAX_BYTES)
        .new_codec();
    let mut framed = Framed::new(stream, codec);
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let ours = Challenge {
        version: VERSION,
        nonce: Bytes::copy_from_slice(&nonce),
    };
    send(&mut framed, &ours).await?;
    let theirs: Challenge = receive(&mut framed).await?;
    ensure!(
        theirs.version == VERSION,
        VersionSnafu {
            theirs: theirs.version
        }
    );
    ensure!(theirs.nonce.len() == NONCE_BYTES, MalformedSnafu);
    let hello_bytes: Bytes = hello.encode_to_vec().into();
    let mac = mac(secret, side, &ours.nonce, &theirs.nonce, &hello_bytes).finalize();
    let proof = Proof {
        hello: hello_bytes,
        mac: Bytes::copy_from_slice(&mac.into_bytes()),
    };
    send(&mut framed, &proof).await?;
    let proof: Proof = receive(&mut framed).await?;
    verify_proof(secret, side.other(), &theirs.nonce, &ours.nonce, &proof)?;
    let hello = Hello::decode(proof.hello).map_err(|_| Refusal::Malformed)?;
    framed.codec_mut().set_max_frame_length(FRAME_MAX_BYTES);
    Ok((hello, framed))
}

fn verify_proof(
    secret: &[u8],
    side: Side,
    sender_nonce: &[u8],
    receiver_nonce: &[u8],
    proof: &Proof,
) -> Result<(), Refusal> {
    // `verify_slice` compares in constant time.
    mac(secret, side, sender_nonce, receiver_nonce, &proof.hello)
        .verify_slice(&proof.mac)
        .map_err(|_| Refusal::Secret)
}

fn mac(
    secret: &[u8],
    side: Side,
    sender_nonce: &[u8],
    receiver_nonce: &[u8],
    hello: &[u8],
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length");
    mac.update(side.tag());
    mac.update(sender_nonce);
    mac.update(receiver_nonce);
    mac.update(hello);
    mac
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    framed: &mut Framed<S, LengthDelimitedCodec>,
    message: &impl Message,
) -> Result<(), Refusal> {
    framed
        .send(Bytes::from(message.encode_to_vec()))
        .await
        .context(IoSnafu)
}

async fn receive<S: AsyncRead + AsyncWrite + Unpin, M: Message + Default>(
    framed: &mut Framed<S, LengthDelimitedCodec>,
) -> Result<M, Refusal> {
    let bytes: BytesMut = framed.next().await.context(ClosedSnafu)?.context(IoSnafu)?;
    M::decode(bytes).map_err(|_| Refusal::Malformed)
}
