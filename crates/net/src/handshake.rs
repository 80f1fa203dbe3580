//! Mutual authentication at the start of a link.
//!
//! Each side proves that it has the cluster secret with an HMAC over a transcript of both identities and both nonces,
//! so a proof cannot be replayed on another link. The transcript starts with the side that made the proof, so a proof
//! cannot be reflected to its sender.

use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use chestnutfork_wire::{Challenge, Hello, PROTOCOL_VERSION, Proof, Welcome, decode, encode};

use crate::identity::{ClusterSecret, Identity};
use crate::link::LinkError;

/// Largest accepted handshake message, in bytes; a larger one from an unauthenticated peer is not decoded.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;

type Socket = WebSocketStream<TcpStream>;

/// Side of the link that made a proof.
#[derive(Clone, Copy, Debug)]
enum Side {
    Initiator,
    Responder,
}

/// Returns the bytes that the proof of a side authenticates.
fn transcript(side: Side, hello: &Hello, challenge: &Challenge) -> Result<Vec<u8>, LinkError> {
    let mut buf = vec![side as u8];
    encode(hello, &mut buf)?;
    let unproven = Challenge {
        proof: [0; 32],
        ..challenge.clone()
    };
    encode(&unproven, &mut buf)?;
    Ok(buf)
}

async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<(), LinkError> {
    let mut buf = Vec::new();
    encode(message, &mut buf)?;
    socket.send(Message::Binary(buf.into())).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_HANDSHAKE_BYTES => Ok(decode(&bytes)?),
        Some(Ok(Message::Close(_))) | None => Err(LinkError::Closed),
        Some(Ok(_)) => Err(LinkError::Unauthenticated),
        Some(Err(error)) => Err(error.into()),
    }
}

/// Performs the handshake as the dialling side and returns the peer's identity.
pub(crate) async fn initiate(
    socket: &mut Socket,
    identity: &Identity,
    secret: &ClusterSecret,
) -> Result<Identity, LinkError> {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        role: identity.role,
        name: identity.name.clone(),
        process: identity.process,
        address: identity.address.clone(),
        nonce: rand::random(),
    };
    send(socket, &hello).await?;
    let challenge: Challenge = receive(socket).await?;
    if !secret.verify(
        &transcript(Side::Responder, &hello, &challenge)?,
        &challenge.proof,
    ) {
        return Err(LinkError::Unauthenticated);
    }
    let proof = secret.prove(&transcript(Side::Initiator, &hello, &challenge)?);
    send(socket, &Proof { proof }).await?;
    let welcome: Welcome = receive(socket).await?;
    check_version(welcome.version)?;
    Ok(Identity {
        role: challenge.role,
        name: challenge.name,
        process: challenge.process,
        address: String::new(),
    })
}

/// Performs the handshake as the accepting side and returns the peer's identity.
pub(crate) async fn respond(
    socket: &mut Socket,
    identity: &Identity,
    secret: &ClusterSecret,
) -> Result<Identity, LinkError> {
    let hello: Hello = receive(socket).await?;
    check_version(hello.version)?;
    let mut challenge = Challenge {
        role: identity.role,
        name: identity.name.clone(),
        process: identity.process,
        nonce: rand::random(),
        proof: [0; 32],
    };
    challenge.proof = secret.prove(&transcript(Side::Responder, &hello, &challenge)?);
    send(socket, &challenge).await?;
    let Proof { proof } = receive(socket).await?;
    if !secret.verify(&transcript(Side::Initiator, &hello, &challenge)?, &proof) {
        return Err(LinkError::Unauthenticated);
    }
    send(
        socket,
        &Welcome {
            version: PROTOCOL_VERSION,
        },
    )
    .await?;
    Ok(Identity {
        role: hello.role,
        name: hello.name,
        process: hello.process,
        address: hello.address,
    })
}

fn check_version(version: u32) -> Result<(), LinkError> {
    if version == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(LinkError::Version {
            peer_version: version,
        })
    }
}
