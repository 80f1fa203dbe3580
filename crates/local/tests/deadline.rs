//! Tests of tasks that outlive their deadline, on a local cluster.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::TokenHash;
use chestnutfork_local::{LocalCluster, LocalConfig, TargetSpec};
use chestnutfork_net::http_client;
use chestnutfork_standin::RunOutcome;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::{Value, json};

const TOKEN: &str = "setters-token";

async fn start() -> LocalCluster {
    let document = json!({
        "services": { "desk": { "pool": "main" } },
        "teams": {
            "setters": { "token_sha256": TokenHash::of(TOKEN).to_hex(), "quota": 100, "services": ["desk"] }
        },
    });
    let target = TargetSpec {
        slots: 1,
        speed: 1.0,
        jitter: 0.0,
    };
    let cfg = LocalConfig::builder(document)
        .entries(1)
        .targets(vec![target])
        .build();
    LocalCluster::start(cfg).await.unwrap()
}

async fn submit(cluster: &LocalCluster, deadline_ms: u64, run_ms: &[u64]) -> Value {
    let tasks: Vec<_> = run_ms
        .iter()
        .map(|run_ms| json!({ "payload": { "run_ms": run_ms } }))
        .collect();
    let body = json!({ "deadline_ms": deadline_ms, "tasks": tasks });
    let request = Request::post(format!(
        "http://{}/v1/services/desk/jobs",
        cluster.entry_addresses()[0]
    ))
    .header("authorization", format!("Bearer {TOKEN}"))
    .body(Full::new(Bytes::from(body.to_string())))
    .unwrap();
    let response = http_client(Duration::from_secs(5))
        .request(request)
        .await
        .unwrap();
    serde_json::from_slice(&response.into_body().collect().await.unwrap().to_bytes()).unwrap()
}

/// Guards against reusing a slot while the target still runs a task whose deadline has passed, which the target would
/// refuse.
#[tokio::test]
async fn deadline_frees_slot_after_stop() {
    let cluster = start().await;
    let late = submit(&cluster, 300, &[60_000]).await;
    assert_eq!(late["tasks"][0]["status"], "may_have_run", "{late}");
    let next = submit(&cluster, 30_000, &[1]).await;
    assert_eq!(next["outcome"], "completed", "{next}");
    let journal = cluster.targets()[0].journal().await.unwrap();
    let refused = journal
        .entries
        .iter()
        .filter(|entry| entry.outcome == Some(RunOutcome::Refused))
        .count();
    assert_eq!(refused, 0, "{journal:?}");
    cluster.shutdown().await;
}
