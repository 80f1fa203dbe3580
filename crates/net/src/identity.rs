//! Identity of a process on a link, and the secret that proves membership of the cluster.

use std::fmt;

use chestnutfork_types::{NodeName, ProcessId};
use chestnutfork_wire::Role;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Who a process is on its links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Role of the process.
    pub role: Role,
    /// Name from the settings; it survives restarts.
    pub name: NodeName,
    /// Random number of this start of the process.
    pub process: ProcessId,
    /// Address where other processes reach it, or an empty string.
    pub address: String,
}

/// Secret that all processes of a cluster share.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterSecret(Vec<u8>);

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterSecret([redacted])")
    }
}

impl ClusterSecret {
    /// Wraps the bytes of a secret.
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

    /// Computes the proof of the secret over a transcript.
    pub(crate) fn prove(&self, transcript: &[u8]) -> [u8; 32] {
        self.mac(transcript).finalize().into_bytes().into()
    }

    /// Checks a proof in constant time.
    pub(crate) fn check(&self, transcript: &[u8], proof: &[u8; 32]) -> bool {
        self.mac(transcript).verify_slice(proof).is_ok()
    }

    fn mac(&self, transcript: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(transcript);
        mac
    }
}

/// Returns a fresh random incarnation number.
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
