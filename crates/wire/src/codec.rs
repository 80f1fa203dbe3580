//! CBOR encoding of frames, with bounded input.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Failure to encode or decode a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a message of the expected type.
    #[error("cannot decode the message: {reason}; check that both processes run compatible versions")]
    Decode {
        /// What the decoder reported.
        reason: String,
    },
    /// A frame was lost, repeated or reordered.
    #[error("frame {got} arrived in place of frame {expected}; the link is closed and dialled again")]
    Sequence {
        /// Position in the frame.
        got: u64,
        /// Position that was due.
        expected: u64,
    },
    /// The value cannot be encoded.
    #[error("cannot encode the message: {reason}; report this as a bug")]
    Encode {
        /// What the encoder reported.
        reason: String,
    },
}

/// Appends the encoding of a value to a buffer.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if the value has no encoding.
///
/// # Examples
///
/// ```
/// let mut buf = Vec::new();
/// chestnutfork_wire::encode(&7_u32, &mut buf)?;
/// assert_eq!(chestnutfork_wire::decode::<u32>(&buf)?, 7);
/// # Ok::<(), chestnutfork_wire::CodecError>(())
/// ```
pub fn encode<T: Serialize>(value: &T, buf: &mut Vec<u8>) -> Result<(), CodecError> {
    ciborium::into_writer(value, buf).map_err(|error| CodecError::Encode {
        reason: error.to_string(),
    })
}

/// Decodes a value from its encoding.
///
/// # Errors
///
/// Returns [`CodecError::Decode`] if the bytes are malformed or of another type.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_wire::decode::<u32>(&[0xff]).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|error| CodecError::Decode {
        reason: error.to_string(),
    })
}

/// Decodes a frame: its position in the session, then its messages until the end of the bytes.
///
/// A frame is written by [`encode`] of the position and of each message in turn, so that the writer can end it at any
/// size. A frame without messages is a heartbeat.
///
/// # Errors
///
/// Returns [`CodecError::Sequence`] if the position is not `expected`, and [`CodecError::Decode`] if the bytes are
/// malformed.
///
/// # Examples
///
/// ```
/// let mut buf = Vec::new();
/// chestnutfork_wire::encode(&0_u64, &mut buf)?;
/// chestnutfork_wire::encode(&"a", &mut buf)?;
/// chestnutfork_wire::encode(&"b", &mut buf)?;
/// assert_eq!(chestnutfork_wire::decode_frame::<String>(&buf, 0)?, ["a", "b"]);
/// assert!(chestnutfork_wire::decode_frame::<String>(&buf, 1).is_err());
/// # Ok::<(), chestnutfork_wire::CodecError>(())
/// ```
pub fn decode_frame<M: DeserializeOwned>(bytes: &[u8], expected: u64) -> Result<Vec<M>, CodecError> {
    let mut rest = bytes;
    let got = decode_next(&mut rest)?;
    if got != expected {
        return Err(CodecError::Sequence { got, expected });
    }
    let mut messages = Vec::new();
    while !rest.is_empty() {
        messages.push(decode_next(&mut rest)?);
    }
    Ok(messages)
}

/// Decodes the first value of the bytes and moves past it.
fn decode_next<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(rest).map_err(|error| CodecError::Decode {
        reason: error.to_string(),
    })
}
