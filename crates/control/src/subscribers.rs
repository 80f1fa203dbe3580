//! Connected entries and agents, with the versions sent to them and in force there.

use std::time::Instant;

use chestnutfork_net::LinkId;
use chestnutfork_types::{ConfigVersion, FailureDomain, ViewNumber};
use indexmap::IndexMap;

use crate::message::{ControlMessage, Output, Renewal, SubscriberIdentity};
use crate::state_machine::StateMachine;

/// Entry or agent at the other end of a link.
#[derive(Debug)]
struct Subscriber {
    identity: SubscriberIdentity,
    /// Version up to which updates were sent; `None` until the process subscribes.
    sent_version: Option<ConfigVersion>,
    version: ConfigVersion,
    synced: ViewNumber,
    /// Arrival of the latest renewal, unless it has already been taken for the leader.
    renewed_at: Option<Instant>,
    leaving: bool,
}

/// Subscribers of this control process.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    links: IndexMap<LinkId, Subscriber>,
}

impl Subscribers {
    pub(crate) fn add(&mut self, link: LinkId, identity: SubscriberIdentity) {
        let subscriber = Subscriber {
            identity,
            sent_version: None,
            version: 0,
            synced: 0,
            renewed_at: None,
            leaving: false,
        };
        self.links.insert(link, subscriber);
    }

    pub(crate) fn remove(&mut self, link: LinkId) {
        self.links.swap_remove(&link);
    }

    pub(crate) fn identity(&self, link: LinkId) -> Option<&SubscriberIdentity> {
        self.links.get(&link).map(|subscriber| &subscriber.identity)
    }

    pub(crate) fn set_failure_domain(&mut self, link: LinkId, failure_domain: FailureDomain) {
        if let Some(subscriber) = self.links.get_mut(&link) {
            subscriber.identity.info.failure_domain = failure_domain;
        }
    }

    /// Starts the subscription of a process with a given version: sends the missing updates and the view.
    pub(crate) fn subscribe(
        &mut self,
        link: LinkId,
        have: ConfigVersion,
        state: &StateMachine,
        outputs: &mut Vec<Output>,
    ) {
        let Some(subscriber) = self.links.get_mut(&link) else {
            return;
        };
        subscriber.sent_version = Some(have);
        subscriber.version = have;
        send_update(link, subscriber, state, outputs);
        send_view(link, state, outputs);
    }

    pub(crate) fn ack(&mut self, link: LinkId, version: ConfigVersion) {
        if let Some(subscriber) = self.links.get_mut(&link) {
            subscriber.version = subscriber.version.max(version);
        }
    }

    pub(crate) fn renew(&mut self, now: Instant, link: LinkId, version: ConfigVersion, synced: ViewNumber) {
        self.ack(link, version);
        if let Some(subscriber) = self.links.get_mut(&link) {
            subscriber.synced = synced;
            subscriber.renewed_at = Some(now);
        }
    }

    pub(crate) fn leave(&mut self, now: Instant, link: LinkId) {
        if let Some(subscriber) = self.links.get_mut(&link) {
            subscriber.leaving = true;
            subscriber.renewed_at = Some(now);
        }
    }

    /// Sends new versions to all subscribed processes.
    pub(crate) fn distribute(&mut self, state: &StateMachine, outputs: &mut Vec<Output>) {
        for (&link, subscriber) in &mut self.links {
            send_update(link, subscriber, state, outputs);
        }
    }

    pub(crate) fn distribute_view(&self, state: &StateMachine, outputs: &mut Vec<Output>) {
        for (&link, subscriber) in &self.links {
            if subscriber.sent_version.is_some() {
                send_view(link, state, outputs);
            }
        }
    }

    /// Removes and returns the renewals that arrived since the last call.
    pub(crate) fn take_renewals(&mut self, now: Instant) -> Vec<Renewal> {
        let renewed = self.links.values_mut().filter_map(|subscriber| {
            let renewed_at = subscriber.renewed_at.take()?;
            Some(Renewal {
                info: subscriber.identity.info.clone(),
                is_entry: subscriber.identity.is_entry,
                version: subscriber.version,
                synced: subscriber.synced,
                age: now.saturating_duration_since(renewed_at),
                leaving: subscriber.leaving,
            })
        });
        renewed.collect()
    }
}

fn send_update(link: LinkId, subscriber: &mut Subscriber, state: &StateMachine, outputs: &mut Vec<Output>) {
    let Some(sent_version) = subscriber.sent_version else {
        return;
    };
    // A subscriber with a newer version than this replica receives nothing, so its version never decreases.
    if let Some(update) = state.config.update_since(sent_version) {
        subscriber.sent_version = Some(update.version());
        let update = ControlMessage::Update(update.encode().into());
        outputs.push(Output::ToSubscriber(link, update));
    }
}

fn send_view(link: LinkId, state: &StateMachine, outputs: &mut Vec<Output>) {
    if let Some(record) = &state.view {
        outputs.push(Output::ToSubscriber(link, ControlMessage::View(record.clone())));
    }
}
