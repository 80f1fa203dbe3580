//! Side of control: announcements, and the documents that are being transferred.

use bytes::Bytes;
use chestnutfork_types::{ConfigVersion, LinkNumber};
use indexmap::IndexMap;

use crate::document::{Document, Part};

/// Maximum size of a part in bytes. A link of 19 Mbit/s carries it in 28 ms, far below the idle timeout of a link.
const PART_BYTES: usize = 64 * 1024;

/// Subscriber that is informed of new versions.
#[derive(Debug, Default)]
struct Watcher {
    announced: ConfigVersion,
    /// Document that the subscriber is fetching. It is kept until its last part is sent, because frequent changes would
    /// otherwise restart the transfer again and again.
    in_transfer: Option<Document>,
}

/// Subscribers of a control process.
#[derive(Debug, Default)]
pub struct Publisher {
    watchers: IndexMap<LinkNumber, Watcher>,
}

impl Publisher {
    /// Adds the subscriber at the other end of a link.
    pub fn watch(&mut self, link: LinkNumber) {
        self.watchers.insert(link, Watcher::default());
    }

    /// Removes the subscriber of a closed link.
    pub fn remove(&mut self, link: LinkNumber) {
        self.watchers.swap_remove(&link);
    }

    /// Returns the subscribers to which a version must be announced, and marks it as announced to them.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_documents::Publisher;
    ///
    /// let mut publisher = Publisher::default();
    /// publisher.watch(1);
    /// assert_eq!(publisher.announce(5), [1]);
    /// assert!(publisher.announce(5).is_empty());
    /// ```
    pub fn announce(&mut self, version: ConfigVersion) -> Vec<LinkNumber> {
        let mut links = Vec::new();
        for (&link, watcher) in &mut self.watchers {
            if watcher.announced < version {
                watcher.announced = version;
                links.push(link);
            }
        }
        links
    }

    /// Returns the requested part of the document that the subscriber is fetching.
    ///
    /// If this is not the requested version, the transfer starts again with the first part of the newest document.
    pub fn fetch(
        &mut self,
        link: LinkNumber,
        version: ConfigVersion,
        offset: u64,
        newest: &Document,
    ) -> Option<Part> {
        let watcher = self.watchers.get_mut(&link)?;
        let current = watcher.in_transfer.take().filter(|_| offset > 0);
        let document = current
            .filter(|document| document.version == version)
            .unwrap_or_else(|| newest.clone());
        let offset = if document.version == version { offset } else { 0 };
        let part = part_at(&document, offset)?;
        if part.offset + (part.content.len() as u64) < part.total {
            watcher.in_transfer = Some(document);
        }
        Some(part)
    }
}

/// Returns the part at an offset, or `None` if the offset is beyond the end.
fn part_at(document: &Document, offset: u64) -> Option<Part> {
    let total = document.content.len();
    let start = usize::try_from(offset).ok().filter(|&start| start <= total)?;
    let end = start.saturating_add(PART_BYTES).min(total);
    let content: Bytes = document.content.slice(start..end);
    Some(Part {
        version: document.version,
        total: total as u64,
        offset,
        content,
    })
}
