//! Identity of kinds of tasks.

use std::hash::Hasher;

use chestnutfork_types::KindId;
use siphasher::sip::SipHasher13;

/// Prefix that keeps an image and a route of the same name apart.
const IMAGE_PREFIX: &[u8] = b"image:";
const ROUTE_PREFIX: &[u8] = b"route:";

/// Returns the id of a kind: of its image where the step names one, otherwise of its route.
///
/// It is a hash without a random key, so that all entries, and those of later versions, compute the same id.
///
/// # Examples
///
/// ```
/// use chestnutfork_interference::kind_id;
///
/// assert_eq!(kind_id(Some("resize:2"), "photos"), kind_id(Some("resize:2"), "thumbnails"));
/// assert_ne!(kind_id(Some("photos"), "photos"), kind_id(None, "photos"));
/// ```
#[must_use]
pub fn kind_id(image: Option<&str>, route: &str) -> KindId {
    let (prefix, name) = image.map_or((ROUTE_PREFIX, route), |image| (IMAGE_PREFIX, image));
    let mut hasher = SipHasher13::new();
    hasher.write(prefix);
    hasher.write(name.as_bytes());
    hasher.finish()
}
