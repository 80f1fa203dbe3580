//! Links to control: documents and the directory of processes.

use chestnutfork_net::{DialTemplate, Dialer, Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_types::ConfigVersion;
use chestnutfork_wire::{ControlMessageWire, Role, SubscriberMessageWire};
use indexmap::IndexMap;

/// News from a control process.
#[derive(Debug)]
pub(crate) enum ControlNews {
    /// A link is open.
    Up {
        link: LinkId,
        tx: LinkSender<SubscriberMessageWire>,
    },
    /// A link is closed.
    Down { link: LinkId },
    /// Messages arrived.
    Messages(Vec<ControlMessageWire>),
}

/// Receiver of news, usually a thin wrapper around an actor's mailbox.
pub(crate) trait Follow: Clone + Send + Sync + 'static {
    fn news(&self, news: ControlNews);
}

/// Handler of links to control.
#[derive(Clone, Debug)]
pub(crate) struct ControlLinks<F> {
    follow: F,
}

impl<F: Follow> LinkHandler for ControlLinks<F> {
    type In = ControlMessageWire;
    type Out = SubscriberMessageWire;

    fn opened(&self, link: LinkId, _peer: Identity, tx: LinkSender<SubscriberMessageWire>) {
        self.follow.news(ControlNews::Up { link, tx });
    }

    fn received(&self, _link: LinkId, messages: Vec<ControlMessageWire>) {
        self.follow.news(ControlNews::Messages(messages));
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        self.follow.news(ControlNews::Down { link });
    }
}

/// Links of an entry or agent to all control processes that it knows.
#[derive(Debug)]
pub(crate) struct Controls<F> {
    dial: DialTemplate,
    follow: F,
    /// Control processes that were named once stay dialled: they may only be cut off.
    dialers: IndexMap<String, Dialer>,
    /// Open links; dropping a sender would close its link.
    links: IndexMap<LinkId, LinkSender<SubscriberMessageWire>>,
}

impl<F: Follow> Controls<F> {
    pub(crate) fn new(dial: DialTemplate, follow: F) -> Self {
        Self {
            dial,
            follow,
            dialers: IndexMap::new(),
            links: IndexMap::new(),
        }
    }

    pub(crate) fn dial(&mut self, addresses: impl IntoIterator<Item = String>) {
        for address in addresses {
            let follow = self.follow.clone();
            let dial = &self.dial;
            self.dialers
                .entry(address)
                .or_insert_with_key(|address| dial.dial(address, Role::Control, ControlLinks { follow }));
        }
    }

    pub(crate) fn up(&mut self, link: LinkId, tx: LinkSender<SubscriberMessageWire>, have: ConfigVersion) {
        // A closed link is reported separately.
        tx.send(SubscriberMessageWire::Follow(have));
        self.links.insert(link, tx);
    }

    pub(crate) fn down(&mut self, link: LinkId) {
        self.links.swap_remove(&link);
    }
}
