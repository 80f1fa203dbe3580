//! Documents and their parts.

use bytes::Bytes;
use chestnutfork_types::ConfigVersion;

/// Document of an operator, which is transferred and stored without parsing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Version assigned by the operator. The content of a version never changes.
    pub version: ConfigVersion,
    /// Opaque bytes of the document.
    pub content: Bytes,
}

/// Part of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Size of the document in bytes.
    pub total: u64,
    /// Position of the first byte of this part.
    pub offset: u64,
    /// Bytes of this part; empty only if the document is empty.
    pub content: Bytes,
}
