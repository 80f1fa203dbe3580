//! CBOR encoding of messages and frames; the links limit the size of the input.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error from encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a valid encoding of the expected type.
    #[error("cannot decode the message: {reason}; check that both processes run compatible versions")]
    Decode {
        /// Error message of the decoder.
        reason: String,
    },
    /// A frame was lost, repeated or reordered.
    #[error("received frame {got} instead of frame {expected}; the link is closed and dialled again")]
    Sequence {
        /// Sequence number in the frame.
        got: u64,
        /// Expected sequence number.
        expected: u64,
    },
    /// The value cannot be encoded.
    #[error("cannot encode the message: {reason}; report this as a bug")]
    Encode {
        /// Error message of the encoder.
        reason: String,
    },
}

/// Appends the encoding of a value to a buffer.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if the value cannot be encoded.
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
/// Returns [`CodecError::Decode`] if the bytes are malformed or encode another type.
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

/// Decodes a frame: its sequence number in the session, followed by any number of messages.
///
/// A frame is the concatenated encoding of the sequence number and of each message. It has no message count, so the
/// sender can end a frame at any size. A frame without messages is a heartbeat.
///
/// # Errors
///
/// Returns [`CodecError::Sequence`] if the sequence number is not `expected`, and [`CodecError::Decode`] if the bytes
/// are malformed.
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

/// Decodes the first value and advances the slice past it.
fn decode_next<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(rest).map_err(|error| CodecError::Decode {
        reason: error.to_string(),
    })
}
