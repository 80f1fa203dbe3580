//! Subscription of entries and agents to the evacuations, and its messages.

use std::time::Duration;

use chestnutfork_evacuation::Evacuations;
use chestnutfork_types::FailureDomain;
use chestnutfork_wire::{ControlMessageWire, SubscriberMessageWire};

/// Evacuations received from control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedEvacuations {
    pub(crate) state: Evacuations,
    /// Time for which the state had been in force at its sender.
    pub(crate) age: Duration,
}

/// Returns the first messages on a link to control: the subscription to the evacuations, if they are enabled, precedes the
/// given one, so that control sends the evacuations before it announces a document.
pub(crate) fn first_messages(
    evacuations: bool,
    failure_domain: &FailureDomain,
    subscription: SubscriberMessageWire,
) -> impl Iterator<Item = SubscriberMessageWire> + use<> {
    let subscribe = evacuations.then(|| SubscriberMessageWire::Subscribe {
        version: u64::MAX,
        failure_domain: failure_domain.clone(),
        evacuations: true,
    });
    subscribe.into_iter().chain([subscription])
}

/// Returns the evacuations in a message of control, if it has any.
pub(crate) fn received_evacuations(message: &ControlMessageWire) -> Option<ReceivedEvacuations> {
    let ControlMessageWire::Evacuations {
        revision,
        domains,
        age_us,
    } = message
    else {
        return None;
    };
    Some(ReceivedEvacuations {
        state: Evacuations {
            revision: *revision,
            domains: domains.iter().cloned().collect(),
        },
        age: Duration::from_micros(*age_us),
    })
}
