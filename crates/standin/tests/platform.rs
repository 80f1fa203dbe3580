//! Checks the simulated platform through its client.

use std::time::Duration;

use chestnutfork_standin::{
    HttpPlatform, LeaseRequest, Platform, PlatformError, PlatformHandle, TaskAction, TaskRef, Worker,
    WorkerPlatform,
};

const HOUR: Duration = Duration::from_hours(1);

async fn platform(lag: Duration) -> (PlatformHandle, HttpPlatform) {
    let worker = Worker {
        name: "w1".to_owned(),
        cores: 16,
        memory_mib: 65_536,
        accelerators: 0,
        rack: "r1".to_owned(),
        failure_domain: "a".to_owned(),
    };
    let handle = Platform::builder().lag(lag).worker(worker).start().await.unwrap();
    let client = HttpPlatform::new(handle.address());
    (handle, client)
}

fn request(cores: u32, ttl_ms: u64) -> LeaseRequest {
    LeaseRequest {
        holder: "agent-1".to_owned(),
        cores,
        memory_mib: 1_024,
        accelerators: 0,
        ttl_ms,
    }
}

fn status<T>(result: Result<T, PlatformError>) -> u16 {
    match result {
        Err(PlatformError::Declined { status, .. }) => status,
        Err(PlatformError::Unreachable { reason }) => panic!("{reason}"),
        Ok(_) => 200,
    }
}

/// Guards against a worker that is leased beyond its size.
#[tokio::test]
async fn lease_refuses_beyond_room() {
    let (_handle, client) = platform(HOUR).await;
    let lease = client.lease("w1", &request(10, 60_000)).await.unwrap();
    assert_eq!(status(client.lease("w1", &request(10, 60_000)).await), 409);
    client.release(lease.id).await.unwrap();
    assert_eq!(status(client.lease("w1", &request(10, 60_000)).await), 200);
    assert_eq!(status(client.lease("w2", &request(1, 60_000)).await), 404);
}

/// Guards against an expired lease that still counts.
#[tokio::test]
async fn renew_refuses_expired_lease() {
    let (_handle, client) = platform(HOUR).await;
    let lease = client.lease("w1", &request(10, 0)).await.unwrap();
    assert_eq!(status(client.renew(lease.id, HOUR).await), 404);
    assert_eq!(status(client.lease("w1", &request(16, 60_000)).await), 200);
}

/// Guards against usage reports without the lag that real ones have.
#[tokio::test]
async fn usage_reports_after_lag() {
    for (lag, expected) in [(Duration::ZERO, 10), (HOUR, 0)] {
        let (_handle, client) = platform(lag).await;
        client.lease("w1", &request(10, 60_000)).await.unwrap();
        assert_eq!(client.usage("w1").await.unwrap().cores, expected);
    }
}

/// Guards against actions that are lost or apply without a lease.
#[tokio::test]
async fn act_requires_lease() {
    let (handle, client) = platform(HOUR).await;
    let lease = client.lease("w1", &request(1, 60_000)).await.unwrap();
    let task = TaskRef {
        lease: lease.id,
        job: "0192f0c1-2345-7abc-8def-0123456789ab".parse().unwrap(),
        task: 3,
    };
    client.act(task, TaskAction::Throttle).await.unwrap();
    let other = TaskRef { lease: 99, ..task };
    assert_eq!(status(client.act(other, TaskAction::Stop).await), 404);
    assert_eq!(handle.actions().await.unwrap(), [(task, TaskAction::Throttle)]);
}

/// Guards against missed or repeated notices, and against leases on a worker that leaves.
#[tokio::test]
async fn notices_list_leaving_workers_once() {
    let (handle, client) = platform(HOUR).await;
    handle.leave("w1", Duration::from_secs(30)).await.unwrap();
    let notices = client.notices(0).await.unwrap();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].leaves_in_ms, 30_000);
    assert!(client.notices(notices[0].number).await.unwrap().is_empty());
    assert_eq!(status(client.lease("w1", &request(1, 60_000)).await), 409);
}
