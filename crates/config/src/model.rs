//! Serde types of the document; they exist only between JSON and the plain types.
//!
//! Defaults are filled in before, so every field is required here.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutfork_schema::Violation;
use chestnutfork_types::{
    EjectionPolicy, HedgePolicy, OptimizationGoal, Placement, RetryPolicy, ServicePolicy, UnconfirmedPolicy,
};
use serde::Deserialize;

use crate::document::{Document, Team};
use crate::token::TokenHash;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DocumentModel {
    services: BTreeMap<String, ServiceModel>,
    teams: BTreeMap<String, TeamModel>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceModel {
    pool: String,
    at_most_once: bool,
    weigh: WeighModel,
    max_tasks: u16,
    max_queue: u32,
    default_deadline_ms: u64,
    max_deadline_ms: u64,
    max_in_flight: u32,
    unconfirmed: UnconfirmedModel,
    placement: PlacementModel,
    retry: RetryModel,
    hedge: HedgeModel,
    ejection: EjectionModel,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WeighModel {
    Messages,
    Latency,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum UnconfirmedModel {
    Refuse,
    Serve,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum PlacementModel {
    Learned,
    Random,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RetryModel {
    max_attempts: u32,
    budget: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HedgeModel {
    enabled: bool,
    after: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EjectionModel {
    failures: u32,
    base_ms: u64,
    max_fraction: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamModel {
    token_sha256: String,
    quota: u32,
    services: Vec<String>,
}

impl TryFrom<DocumentModel> for Document {
    type Error = Violation;

    fn try_from(model: DocumentModel) -> Result<Self, Violation> {
        let services = model.services.into_iter();
        let teams = model.teams.into_iter().map(|(name, team)| {
            let team = team.into_team(name)?;
            Ok((team.name.clone(), team))
        });
        Ok(Self {
            services: services.map(|(name, service)| (name, service.into())).collect(),
            teams: teams.collect::<Result<_, Violation>>()?,
        })
    }
}

impl From<ServiceModel> for ServicePolicy {
    fn from(model: ServiceModel) -> Self {
        Self {
            pool: model.pool,
            at_most_once: model.at_most_once,
            optimization_goal: model.weigh.into(),
            max_tasks: model.max_tasks,
            max_queue: model.max_queue,
            default_deadline: Duration::from_millis(model.default_deadline_ms),
            max_deadline: Duration::from_millis(model.max_deadline_ms),
            max_in_flight: model.max_in_flight,
            unconfirmed: model.unconfirmed.into(),
            placement: model.placement.into(),
            retry: model.retry.into(),
            hedge: model.hedge.into(),
            ejection: model.ejection.into(),
        }
    }
}

impl From<WeighModel> for OptimizationGoal {
    fn from(model: WeighModel) -> Self {
        match model {
            WeighModel::Messages => Self::Messages,
            WeighModel::Latency => Self::Latency,
        }
    }
}

impl From<UnconfirmedModel> for UnconfirmedPolicy {
    fn from(model: UnconfirmedModel) -> Self {
        match model {
            UnconfirmedModel::Refuse => Self::Refuse,
            UnconfirmedModel::Serve => Self::Serve,
        }
    }
}

impl From<PlacementModel> for Placement {
    fn from(model: PlacementModel) -> Self {
        match model {
            PlacementModel::Learned => Self::Learned,
            PlacementModel::Random => Self::Random,
        }
    }
}

impl From<RetryModel> for RetryPolicy {
    fn from(model: RetryModel) -> Self {
        Self {
            max_attempts: model.max_attempts,
            budget: model.budget,
        }
    }
}

impl From<HedgeModel> for HedgePolicy {
    fn from(model: HedgeModel) -> Self {
        Self {
            enabled: model.enabled,
            delay_factor: model.after,
        }
    }
}

impl From<EjectionModel> for EjectionPolicy {
    fn from(model: EjectionModel) -> Self {
        Self {
            consecutive_failures: model.failures,
            base_time: Duration::from_millis(model.base_ms),
            max_fraction: model.max_fraction,
        }
    }
}

impl TeamModel {
    fn into_team(self, name: String) -> Result<Team, Violation> {
        let token = TokenHash::from_hex(&self.token_sha256).ok_or_else(|| {
            let path = format!("teams.{name}.token_sha256");
            Violation::inconsistent(path, "is not a SHA-256 hash; set it to 64 hexadecimal digits")
        })?;
        Ok(Team {
            name,
            token,
            quota: self.quota,
            services: self.services,
        })
    }
}
