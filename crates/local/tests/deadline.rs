//! Slots of tasks that outlive their deadline, over a complete set of processes on loopback.

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
    let shape = TargetSpec {
        slots: 1,
        speed: 1.0,
        jitter: 0.0,
    };
    let cfg = LocalConfig::builder(document)
        .entries(1)
        .targets(vec![shape])
        .build();
    LocalCluster::start(cfg).await.unwrap()
}

async fn submit(set: &LocalCluster, deadline_ms: u64, run_ms: &[u64]) -> Value {
    let tasks: Vec<_> = run_ms
        .iter()
        .map(|run_ms| json!({ "payload": { "run_ms": run_ms } }))
        .collect();
    let body = json!({ "deadline_ms": deadline_ms, "tasks": tasks });
    let request = Request::post(format!(
        "http://{}/v1/services/desk/jobs",
        set.entry_addresses()[0]
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

/// Guards against a slot that is given out again while the target still runs the task whose deadline has passed.
#[tokio::test]
async fn deadline_frees_slot_after_stop() {
    let set = start().await;
    let late = submit(&set, 300, &[60_000]).await;
    assert_eq!(late["tasks"][0]["status"], "may_have_run", "{late}");
    let next = submit(&set, 30_000, &[1]).await;
    assert_eq!(next["outcome"], "completed", "{next}");
    let journal = set.targets()[0].journal().await.unwrap();
    let refused = journal
        .entries
        .iter()
        .filter(|entry| entry.outcome == Some(RunOutcome::Refused))
        .count();
    assert_eq!(refused, 0, "{journal:?}");
    set.shutdown().await;
}
