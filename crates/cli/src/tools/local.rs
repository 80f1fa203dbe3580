//! Local sets of processes for `quickstart`, `dev` and scenarios.

use chestnutfork_config::TokenHash;
use chestnutfork_events::{Format, Severity, init};
use chestnutfork_load::{Endpoints, LocalProcesses, Scenario};
use chestnutfork_local::{LocalConfig, LocalSet, TargetShape};
use serde_json::{Map, Value, json};

use super::ToolError;

/// Token of the team in a local set.
const TEAM_TOKEN: &str = "local-team-token";
/// Pool of the targets of a local set.
const POOL: &str = "main";

/// Starts the set of a scenario and returns where to submit to.
///
/// Events of the processes are logged on standard error from the given severity upwards.
pub(crate) async fn start(
    scenario: &Scenario,
    local: &LocalProcesses,
    least: Severity,
) -> Result<(LocalSet, Endpoints), ToolError> {
    init(least, Format::Text)?;
    let cfg = LocalConfig::builder(document(scenario, local))
        .entries(local.entries)
        .targets(shapes(local))
        .seed(scenario.seed)
        .build();
    let set = LocalSet::start(cfg).await?;
    let endpoints = Endpoints {
        entries: set.entries(),
        team_token: TEAM_TOKEN.to_owned(),
    };
    Ok((set, endpoints))
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

fn shapes(local: &LocalProcesses) -> Vec<TargetShape> {
    let groups = local.targets.iter();
    let shapes = groups.flat_map(|group| {
        let shape = TargetShape {
            slots: group.slots,
            speed: group.speed,
            jitter: group.jitter,
        };
        (0..group.count).map(move |_| shape)
    });
    shapes.collect()
}
