//! Proof of the cell's secret at the start of a link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::wire::{Challenge, FRAME_MAX, Hello, Proof, VERSION};

/// Longest time for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest frame before the other side has proved itself, in bytes.
const HANDSHAKE_FRAME_MAX: usize = 1_024;
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// Which side opened the connection. Part of the proof, so that none can be
/// sent back to its author.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Dialer,
    /// The side that accepted.
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

/// Why a link was refused.
#[derive(Debug, Snafu)]
pub enum Refusal {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("closed during the handshake"))]
    Closed,
    /// A frame was malformed.
    #[snafu(display("malformed handshake"))]
    Malformed,
    /// The other side speaks another version.
    #[snafu(display("protocol version {theirs}, this is {VERSION}"))]
    Version {
        /// Version of the other side.
        theirs: u32,
    },
    /// The other side does not know the cell's secret.
    #[snafu(display("wrong cell secret"))]
    Secret,
}

/// Exchanges proofs; yields the other side's introduction and the framed stream.
///
/// # Errors
///
/// Fails if the connection does, if the versions differ or if the other side does
/// not know the secret.
pub async fn shake<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    side: Side,
    secret: &[u8],
    hello: &Hello,
) -> Result<(Hello, Framed<S, LengthDelimitedCodec>), Refusal> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HANDSHAKE_FRAME_MAX)
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
    mac_of(secret, side.other(), &theirs.nonce, &ours.nonce, &proof)?;
    let hello = Hello::decode(proof.hello).map_err(|_| Refusal::Malformed)?;
    framed.codec_mut().set_max_frame_length(FRAME_MAX);
    Ok((hello, framed))
}

fn mac_of(
    secret: &[u8],
    side: Side,
    author: &[u8],
    reader: &[u8],
    proof: &Proof,
) -> Result<(), Refusal> {
    // The library compares in constant time.
    mac(secret, side, author, reader, &proof.hello)
        .verify_slice(&proof.mac)
        .map_err(|_| Refusal::Secret)
}

fn mac(secret: &[u8], side: Side, author: &[u8], reader: &[u8], hello: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length");
    mac.update(side.tag());
    mac.update(author);
    mac.update(reader);
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
