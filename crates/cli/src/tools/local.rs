//! Local clusters for `quickstart`, `dev` and scenarios.

use chestnutfork_config::TokenHash;
use chestnutfork_events::{Format, Severity, init};
use chestnutfork_load::{Endpoints, LocalProcesses, Scenario};
use chestnutfork_local::{LocalCluster, LocalConfig, TargetSpec};
use serde_json::{Map, Value, json};

use super::ToolError;

/// Token of the team in a local cluster.
const TEAM_TOKEN: &str = "local-team-token";
/// Pool of the targets in a local cluster.
const POOL: &str = "main";

/// Starts the local cluster of a scenario and returns it with the endpoints to submit to.
///
/// Events of at least the given severity are logged on standard error.
pub(crate) async fn start(
    scenario: &Scenario,
    local: &LocalProcesses,
    min_severity: Severity,
) -> Result<(LocalCluster, Endpoints), ToolError> {
    init(min_severity, Format::Text)?;
    let cfg = LocalConfig::builder(document(scenario, local))
        .entries(local.entries)
        .targets(target_specs(local))
        .seed(scenario.seed)
        .build();
    let cluster = LocalCluster::start(cfg).await?;
    let endpoints = Endpoints {
        entries: cluster.entry_addresses(),
        team_token: TEAM_TOKEN.to_owned(),
    };
    Ok((cluster, endpoints))
}

fn document(scenario: &Scenario, local: &LocalProcesses) -> Value {
    let mut service: Map<String, Value> = local.policy.clone();
    service.insert("pool".to_owned(), POOL.into());
    service.insert("at_most_once".to_owned(), scenario.at_most_once.into());
    let team = json!({
        "token_sha256": TokenHash::of(TEAM_TOKEN).to_hex(),
        "quota": local.quota,
        "services": [scenario.service],
    });
    let services = Map::from_iter([(scenario.service.clone(), Value::Object(service))]);
    json!({ "services": services, "teams": { "local": team } })
}

fn target_specs(local: &LocalProcesses) -> Vec<TargetSpec> {
    let groups = local.targets.iter();
    let specs = groups.flat_map(|group| {
        let spec = TargetSpec {
            slots: group.slots,
            speed: group.speed,
            jitter: group.jitter,
        };
        (0..group.count).map(move |_| spec)
    });
    specs.collect()
}
