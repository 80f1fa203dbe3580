//! Links to control processes, which deliver documents and the directory of processes.

use chestnutfork_net::{DialTemplate, Dialer, Identity, LinkError, LinkHandler, LinkId, LinkSender};
use chestnutfork_wire::{ControlMessageWire, Role, SubscriberMessageWire};
use indexmap::IndexMap;

/// Event on a link to a control process.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    LinkOpened {
        link: LinkId,
        tx: LinkSender<SubscriberMessageWire>,
    },
    LinkClosed {
        link: LinkId,
    },
    Messages {
        link: LinkId,
        messages: Vec<ControlMessageWire>,
    },
}

/// Receiver of control events, usually a thin wrapper around an actor's mailbox.
pub(crate) trait ControlObserver: Clone + Send + Sync + 'static {
    fn notify(&self, event: ControlEvent);
}

/// Forwards the events of links to control to an observer.
#[derive(Clone, Debug)]
pub(crate) struct ControlLinkHandler<O> {
    observer: O,
}

impl<O: ControlObserver> LinkHandler for ControlLinkHandler<O> {
    type In = ControlMessageWire;
    type Out = SubscriberMessageWire;

    fn opened(&self, link: LinkId, _peer: Identity, tx: LinkSender<SubscriberMessageWire>) {
        self.observer.notify(ControlEvent::LinkOpened { link, tx });
    }

    fn received(&self, link: LinkId, messages: Vec<ControlMessageWire>) {
        self.observer.notify(ControlEvent::Messages { link, messages });
    }

    fn closed(&self, link: LinkId, _error: LinkError) {
        self.observer.notify(ControlEvent::LinkClosed { link });
    }
}

/// Links of an entry or agent to all known control processes.
#[derive(Debug)]
pub(crate) struct ControlConnections<O> {
    dial_template: DialTemplate,
    observer: O,
    /// One dialer per address. An address that leaves the directory keeps its dialer, because its process may only be
    /// partitioned from the others.
    dialers: IndexMap<String, Dialer>,
    /// Senders of open links. They are retained because dropping a sender closes its link.
    links: IndexMap<LinkId, LinkSender<SubscriberMessageWire>>,
}

impl<O: ControlObserver> ControlConnections<O> {
    pub(crate) fn new(dial_template: DialTemplate, observer: O) -> Self {
        Self {
            dial_template,
            observer,
            dialers: IndexMap::new(),
            links: IndexMap::new(),
        }
    }

    pub(crate) fn dial(&mut self, addresses: impl IntoIterator<Item = String>) {
        for address in addresses {
            let observer = self.observer.clone();
            let dial_template = &self.dial_template;
            self.dialers.entry(address).or_insert_with_key(|address| {
                dial_template.dial(address, Role::Control, ControlLinkHandler { observer })
            });
        }
    }

    /// Records an open link and sends the first messages on it.
    pub(crate) fn link_opened(
        &mut self,
        link: LinkId,
        tx: LinkSender<SubscriberMessageWire>,
        first: impl IntoIterator<Item = SubscriberMessageWire>,
    ) {
        for message in first {
            // If the link is closed, the handler reports that separately.
            tx.send(message);
        }
        self.links.insert(link, tx);
    }

    /// Sends a message on a link. One that is closed needs no message: the handler reports the closure separately.
    pub(crate) fn send(&self, link: LinkId, message: SubscriberMessageWire) {
        if let Some(tx) = self.links.get(&link) {
            tx.send(message);
        }
    }

    pub(crate) fn link_closed(&mut self, link: LinkId) {
        self.links.swap_remove(&link);
    }
}
