//! What control says, translated for the agent's actor.

use std::sync::Arc;

use chestnutfork_config::Document;
use chestnutfork_subscriber::{ControlView, SubscriptionHandler};
use chestnutfork_types::{ConfigVersion, UnconfirmedPolicy};
use ractor::ActorRef;

use crate::actor::AgentMessage;

/// Handler of the agent's subscription to control.
#[derive(Debug)]
pub(crate) struct ControlHandler {
    pub(crate) actor: ActorRef<AgentMessage>,
}

impl SubscriptionHandler for ControlHandler {
    fn config_changed(&self, version: ConfigVersion, document: Arc<Document>) {
        let refusing = document
            .services()
            .filter(|(_, policy)| policy.unconfirmed == UnconfirmedPolicy::Refuse);
        let refusing = refusing.map(|(name, _)| name.clone()).collect();
        // A stopped actor needs no events; the same holds below.
        drop(self.actor.cast(AgentMessage::Configured { version, refusing }));
    }

    fn confirmation_changed(&self, confirmed: bool) {
        drop(self.actor.cast(AgentMessage::Confirmed(confirmed)));
    }

    fn view_changed(&self, view: ControlView) {
        drop(self.actor.cast(AgentMessage::Entries(view.entries)));
    }
}
