//! Identity of a process on a link, and the secret that proves membership of the cluster.

use std::fmt;

use chestnutfork_types::{NodeName, ProcessId};
use chestnutfork_wire::Role;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Identity that a process presents on its links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Role of the process.
    pub role: Role,
    /// Name from the settings; it stays the same across restarts.
    pub name: NodeName,
    /// Random ID that the process chooses at each start.
    pub process: ProcessId,
    /// Address at which other processes can reach it; empty if there is none.
    pub address: String,
}

/// Secret shared by all processes of a cluster.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterSecret(Vec<u8>);

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterSecret([redacted])")
    }
}

impl ClusterSecret {
    /// Creates a secret from its bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// let secret = chestnutfork_net::ClusterSecret::new("correct horse");
    /// assert_eq!(format!("{secret:?}"), "ClusterSecret([redacted])");
    /// ```
    #[must_use]
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self(secret.as_ref().to_vec())
    }

    /// Computes the HMAC-SHA256 of a transcript, which proves possession of the secret.
    pub(crate) fn prove(&self, transcript: &[u8]) -> [u8; 32] {
        self.mac(transcript).finalize().into_bytes().into()
    }

    /// Verifies a proof in constant time.
    pub(crate) fn verify(&self, transcript: &[u8], proof: &[u8; 32]) -> bool {
        self.mac(transcript).verify_slice(proof).is_ok()
    }

    fn mac(&self, transcript: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(transcript);
        mac
    }
}

/// Returns a new random process ID.
///
/// # Examples
///
/// ```
/// assert_ne!(chestnutfork_net::random_process_id(), chestnutfork_net::random_process_id());
/// ```
#[must_use]
pub fn random_process_id() -> ProcessId {
    rand::random()
}
