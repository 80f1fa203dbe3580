//! Side of a subscriber: the choice of the control process to fetch from, and the transfer in progress.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_types::{ConfigVersion, LinkNumber};
use indexmap::IndexMap;

use crate::document::{Document, Part};

/// Time without a part after which the rest of a document is requested from another control process. An entry that is
/// overloaded may take most of a second for each message.
const PART_TIMEOUT: Duration = Duration::from_secs(1);

/// Action that the owner of a [`Fetcher`] must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchAction {
    /// Requests the parts of a document from an offset on. A newer document may be sent instead.
    Request {
        /// Link to send the request on.
        link: LinkNumber,
        /// Version of the document.
        version: ConfigVersion,
        /// Position of the first byte.
        offset: u64,
    },
    /// Puts a complete document in force.
    Deliver {
        /// Document, whose version is higher than that of every earlier one.
        document: Document,
        /// Time since the oldest of the versions that it puts in force or supersedes was announced.
        behind: Duration,
    },
}

/// Document that is being fetched.
#[derive(Debug)]
struct Transfer {
    link: LinkNumber,
    version: ConfigVersion,
    content: Vec<u8>,
    /// When the latest part arrived, or the document was requested.
    progress_at: Instant,
}

/// Fetches the newest document from the control processes that a subscriber has links to.
#[derive(Debug, Default)]
pub struct Fetcher {
    /// Version of the last document that was delivered.
    delivered: ConfigVersion,
    /// Highest version announced on each open link, in the order of the first announcements.
    announced: IndexMap<LinkNumber, ConfigVersion>,
    /// Announced versions that are higher than the delivered one, and when each was announced first.
    pending: BTreeMap<ConfigVersion, Instant>,
    transfer: Option<Transfer>,
}

impl Fetcher {
    /// Returns when the owner must call [`Fetcher::on_tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let transfer = self.transfer.as_ref()?;
        Some(transfer.progress_at + PART_TIMEOUT)
    }

    /// Records that a control process has a version, and fetches it if it is newer and no transfer is in progress.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_documents::{FetchAction, Fetcher};
    ///
    /// let mut fetcher = Fetcher::default();
    /// let mut actions = Vec::new();
    /// fetcher.on_announced(Instant::now(), 1, 5, &mut actions);
    /// assert_eq!(actions, [FetchAction::Request { link: 1, version: 5, offset: 0 }]);
    /// ```
    pub fn on_announced(
        &mut self,
        now: Instant,
        link: LinkNumber,
        version: ConfigVersion,
        actions: &mut Vec<FetchAction>,
    ) {
        let announced = self.announced.entry(link).or_default();
        *announced = version.max(*announced);
        if version > self.delivered {
            self.pending.entry(version).or_insert(now);
        }
        self.fetch_newest(now, actions);
    }

    /// Forgets a closed link; a transfer on it continues on another link.
    pub fn on_closed(&mut self, now: Instant, link: LinkNumber, actions: &mut Vec<FetchAction>) {
        self.announced.shift_remove(&link);
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.link == link)
        {
            self.fail_over(now, actions);
        }
    }

    /// Continues a transfer on another link if its next part is overdue.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<FetchAction>) {
        if self.next_wakeup().is_some_and(|at| at <= now) {
            self.fail_over(now, actions);
        }
    }

    /// Processes a part, and delivers the document once it is complete.
    ///
    /// The content of a version is the same at all control processes, so a part counts whichever link it arrives on.
    pub fn on_part(&mut self, now: Instant, link: LinkNumber, part: &Part, actions: &mut Vec<FetchAction>) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        if part.offset == 0 && part.version > transfer.version {
            transfer.version = part.version;
            transfer.content.clear();
        }
        let expected = part.version == transfer.version && part.offset == transfer.content.len() as u64;
        if !expected {
            // A duplicate, or a part of a superseded document.
            return;
        }
        transfer.link = link;
        transfer.progress_at = now;
        transfer.content.extend_from_slice(&part.content);
        if (transfer.content.len() as u64) < part.total {
            return;
        }
        let content = Bytes::from(std::mem::take(&mut transfer.content));
        let version = transfer.version;
        self.transfer = None;
        let document = Document { version, content };
        let behind = self.deliver(now, version);
        actions.push(FetchAction::Deliver { document, behind });
        self.fetch_newest(now, actions);
    }

    /// Records a version as delivered and returns the time since the oldest version up to it was announced.
    fn deliver(&mut self, now: Instant, version: ConfigVersion) -> Duration {
        self.delivered = version;
        let oldest = self.pending.range(..=version).map(|(_, &since)| since).min();
        self.pending.retain(|&pending, _| pending > version);
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Starts to fetch the newest announced version unless a transfer is in progress.
    fn fetch_newest(&mut self, now: Instant, actions: &mut Vec<FetchAction>) {
        if self.transfer.is_some() {
            return;
        }
        let newer = self
            .announced
            .iter()
            .filter(|(_, version)| **version > self.delivered);
        // Of several links with the same version, the first is the one on which a version was announced first.
        let newest = newer.rev().max_by_key(|(_, version)| **version);
        let Some((&link, &version)) = newest else {
            return;
        };
        self.transfer = Some(Transfer {
            link,
            version,
            content: Vec::new(),
            progress_at: now,
        });
        actions.push(FetchAction::Request {
            link,
            version,
            offset: 0,
        });
    }

    /// Requests the rest of the document in transfer from another control process, or starts with the newest document.
    fn fail_over(&mut self, now: Instant, actions: &mut Vec<FetchAction>) {
        let Some(mut transfer) = self.transfer.take() else {
            return;
        };
        // The link without progress becomes the last choice.
        if let Some(announced) = self.announced.shift_remove(&transfer.link) {
            self.announced.insert(transfer.link, announced);
        }
        let mut offers = self.announced.iter();
        let offer = offers.find(|(_, version)| **version >= transfer.version);
        let Some((&link, _)) = offer.filter(|_| !transfer.content.is_empty()) else {
            self.fetch_newest(now, actions);
            return;
        };
        transfer.link = link;
        transfer.progress_at = now;
        actions.push(FetchAction::Request {
            link,
            version: transfer.version,
            offset: transfer.content.len() as u64,
        });
        self.transfer = Some(transfer);
    }
}
