//! Forwards notifications from control to the entry's actor and its HTTP interface.

use std::sync::Arc;

use chestnutfork_config::Document;
use chestnutfork_dispatch::{PolicyTable, TeamQuota};
use chestnutfork_subscriber::{ControlView, SubscriptionHandler};
use chestnutfork_types::{ConfigVersion, NodeName, ProcessId};
use ractor::ActorRef;
use tokio::sync::watch;

use crate::actor::EntryMessage;

/// Handler of the entry's subscription to control.
#[derive(Debug)]
pub(crate) struct ControlHandler {
    pub(crate) name: NodeName,
    pub(crate) process: ProcessId,
    pub(crate) actor: ActorRef<EntryMessage>,
    pub(crate) documents: watch::Sender<Arc<Document>>,
}

impl SubscriptionHandler for ControlHandler {
    fn config_changed(&self, version: ConfigVersion, document: Arc<Document>) {
        let services = document
            .services()
            .map(|(name, policy)| (name.clone(), policy.clone()));
        let quotas = document.teams().map(|team| TeamQuota {
            team: team.name.clone(),
            quota: team.quota,
        });
        let policies = PolicyTable {
            version,
            services: services.collect(),
            quotas: quotas.collect(),
        };
        // Events for a stopped actor are dropped, here and below.
        drop(self.actor.cast(EntryMessage::Policies(policies)));
        self.documents.send_replace(document);
    }

    fn confirmation_changed(&self, confirmed: bool) {
        drop(self.actor.cast(EntryMessage::Confirmed(confirmed)));
    }

    fn view_changed(&self, view: ControlView) {
        // Of two entries, the one with the smaller name dials, so that there is only one link between them.
        let larger = view
            .entries
            .iter()
            .filter(|entry| (entry.name.as_str(), entry.process) > (self.name.as_str(), self.process));
        let addresses = larger.map(|entry| entry.address.clone()).collect();
        drop(self.actor.cast(EntryMessage::Peers(addresses)));
        drop(self.actor.cast(EntryMessage::View(view.view)));
    }
}
