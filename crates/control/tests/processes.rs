//! Tests of control processes on loopback, with files on disk, operators over HTTP and a subscriber over a link.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::{TokenHash, Update};
use chestnutfork_control::{ControlConfig, Member, Operator, RunningControl, start};
use chestnutfork_net::{
    ClusterSecret, DialConfig, Dialer, HttpClient, Identity, LinkError, LinkHandler, LinkId, LinkSender,
    Metrics, dial, http_client,
};
use chestnutfork_settings::ControlSettings;
use chestnutfork_storage::DiskFolder;
use chestnutfork_wire::{ControlMessageWire, Role, SubscriberMessageWire};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Limit of every wait; it is far above the usual duration, so that only a process that makes no progress fails a test.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn secret() -> ClusterSecret {
    ClusterSecret::new("test secret")
}

async fn start_control(name: &str, folder: &Path, links: TcpListener, members: &[Member]) -> RunningControl {
    let operator = Operator {
        name: "ann".into(),
        token: TokenHash::of("token of ann"),
    };
    let cfg = ControlConfig::builder(name, secret())
        .link_socket(links)
        .members(members)
        .operators(vec![operator])
        .build();
    let folder = DiskFolder::open(folder).unwrap();
    start(cfg, folder).await.unwrap()
}

async fn bind(address: &str) -> TcpListener {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Ok(socket) => return socket,
            // The address of a killed process may remain in use for a short time.
            Err(_) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
            Err(error) => panic!("{error}"),
        }
    }
}

async fn send(
    client: &HttpClient,
    control: &RunningControl,
    path: &str,
    token: &str,
    body: Option<&Value>,
) -> (u16, Value) {
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", control.address()))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(body))
        .unwrap();
    let response = client.request(req).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Sends a request until it is answered by a leader.
async fn send_until_answered(
    client: &HttpClient,
    control: &RunningControl,
    path: &str,
    body: Option<&Value>,
) -> (u16, Value) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = send(client, control, path, "token of ann", body).await;
        if answer.0 < 500 || Instant::now() > deadline {
            return answer;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a process is the leader and returns its index.
async fn wait_for_leader(group: &[RunningControl]) -> usize {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        for (index, control) in group.iter().enumerate() {
            if control.status().await.is_some_and(|status| status.is_leader) {
                return index;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("no process leads");
}

fn patch(base: u64, id: u8) -> Value {
    json!({
        "base": base,
        "patch_id": format!("018f0000-0000-7000-8000-0000000000{id:02x}"),
        "reason": "test",
        "body": { "services": { format!("desk{id}"): { "pool": "main" } } },
    })
}

#[derive(Clone)]
struct Subscriber {
    events: mpsc::UnboundedSender<ControlMessageWire>,
}

impl LinkHandler for Subscriber {
    type In = ControlMessageWire;
    type Out = SubscriberMessageWire;

    fn opened(&self, _link: LinkId, _peer: Identity, tx: LinkSender<SubscriberMessageWire>) {
        tx.send(SubscriberMessageWire::Subscribe {
            evacuations: false,
            version: 0,
            failure_domain: "a".into(),
        });
        let events = self.events.clone();
        tokio::spawn(async move {
            while !events.is_closed() {
                tx.send(SubscriberMessageWire::Renew {
                    probe: 5,
                    version: 0,
                    synced: 0,
                });
                sleep(Duration::from_millis(100)).await;
            }
        });
    }

    fn received(&self, _link: LinkId, messages: Vec<ControlMessageWire>) {
        for message in messages {
            let _ = self.events.send(message);
        }
    }

    fn closed(&self, _link: LinkId, _error: LinkError) {}
}

fn subscribe(control: &RunningControl) -> (Dialer, mpsc::UnboundedReceiver<ControlMessageWire>) {
    let (events, rx) = mpsc::unbounded_channel();
    let identity = Identity {
        role: Role::Entry,
        name: "entry-1".into(),
        process: 77,
        address: "127.0.0.1:9".into(),
    };
    let cfg = DialConfig::builder(control.link_address(), identity, secret())
        .expected_role(Role::Control)
        .metrics(Metrics::disabled())
        .build();
    (dial(cfg, Subscriber { events }), rx)
}

/// Waits for a version, its confirmation and a view, in any order.
async fn wait_for_version(rx: &mut mpsc::UnboundedReceiver<ControlMessageWire>, expected: u64) {
    let (mut version, mut confirmed, mut view_received) = (0, false, false);
    while version < expected || !confirmed || !view_received {
        match rx.recv().await.expect("control runs") {
            ControlMessageWire::Update(update) => version = Update::decode(&update).unwrap().version(),
            ControlMessageWire::Confirm(confirm) => {
                confirmed |= confirm.probe() == 5 && confirm.version() == expected;
            }
            ControlMessageWire::View(_) => view_received = true,
            ControlMessageWire::Document(..)
            | ControlMessageWire::Directory(..)
            | ControlMessageWire::Announce(_)
            | ControlMessageWire::Part(_)
            | ControlMessageWire::Evacuations { .. } => {
                panic!("a subscriber that does not follow documents received a document or a directory");
            }
        }
    }
}

/// Starts three processes that form a replica set.
async fn start_group(folder: &Path) -> (Vec<Member>, Vec<RunningControl>) {
    let mut sockets = Vec::new();
    let mut members = Vec::new();
    for index in 0..3 {
        let socket = bind("127.0.0.1:0").await;
        members.push(Member {
            name: format!("control-{index}"),
            address: socket.local_addr().unwrap().to_string(),
        });
        sockets.push(socket);
    }
    let mut group = Vec::new();
    for (member, socket) in members.iter().zip(sockets) {
        group.push(start_control(&member.name, &folder.join(&member.name), socket, &members).await);
    }
    (members, group)
}

/// Guards against failures that occur only with real sockets and files, including the loss of acknowledged patches when
/// all members are killed and restarted.
#[tokio::test]
async fn start_three_processes_keep_configuration() {
    let dir = tempfile::tempdir().unwrap();
    let client = http_client(Duration::from_secs(1));
    let (members, mut group) = start_group(dir.path()).await;

    // One request goes to each process, so at least two are forwarded to the leader.
    for (index, control) in group.iter().enumerate() {
        let index = u8::try_from(index).unwrap();
        let (status, body) = send_until_answered(
            &client,
            control,
            "/v1/patches",
            Some(&patch(u64::from(index), index)),
        )
        .await;
        assert_eq!((status, &body["version"]), (200, &json!(index + 1)), "{body}");
    }
    let (status, body) = send_until_answered(&client, &group[1], "/v1/patches", Some(&patch(0, 9))).await;
    assert_eq!((status, &body["verdict"]), (409, &json!("conflict")));
    assert_eq!(send(&client, &group[0], "/v1/status", "wrong", None).await.0, 401);

    let (dialer, mut rx) = subscribe(&group[2]);
    wait_for_version(&mut rx, 3).await;
    drop(dialer);

    // A graceful shutdown of the leader transfers leadership; a kill does not.
    let addresses: Vec<String> = group
        .iter()
        .map(|control| control.link_address().to_owned())
        .collect();
    let leader = wait_for_leader(&group).await;
    group.remove(leader).shutdown(Duration::from_secs(5)).await;
    let (status, body) = send_until_answered(&client, &group[0], "/v1/patches", Some(&patch(3, 4))).await;
    assert_eq!(status, 200, "{body}");
    for control in group.drain(..) {
        control.kill();
    }
    for (member, address) in members.iter().zip(&addresses) {
        let folder = dir.path().join(&member.name);
        let socket = bind(address).await;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while DiskFolder::open(&folder).is_err() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        group.push(start_control(&member.name, &folder, socket, &members).await);
    }
    let (status, body) = send_until_answered(&client, &group[0], "/v1/audit?since=2", None).await;
    assert_eq!(status, 200);
    let versions: Vec<&Value> = body["records"]
        .as_array()
        .unwrap()
        .iter()
        .map(|record| &record["version"])
        .collect();
    assert_eq!(versions, [&json!(3), &json!(4)]);
    assert_eq!(body["records"][0]["operator"], json!("ann"));
}

/// Guards against settings that are parsed but missing from the configuration of the process.
#[test]
fn from_settings_keeps_every_address() {
    let hash = TokenHash::of("token of ann").to_hex();
    let text = format!(
        "name: control-1\nfailure_domain: a\nlisten: 127.0.0.1:7101\npeer_listen: 127.0.0.1:7102\n\
         cluster_secret: 0123456789abcdef0123456789abcdef\ndata_dir: data\n\
         initial_members: {{ control-1: '127.0.0.1:7102' }}\n\
         operators: {{ ann: {{ token_sha256: {hash} }} }}\n"
    );
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("control.yaml");
    std::fs::write(&path, text).unwrap();
    let settings = ControlSettings::load(&path).unwrap();
    let cfg = format!("{:?}", ControlConfig::from(&settings));
    for part in ["control-1", "127.0.0.1:7101", "127.0.0.1:7102", "ann"] {
        assert!(cfg.contains(part), "{part} is missing in {cfg}");
    }
}

/// Guards against a leader whose shutdown waits for the whole grace period because its chosen successor has stopped.
#[tokio::test]
async fn shutdown_survives_lost_successor() {
    // One of the two followers is the chosen successor, so one of the two rounds stops it.
    for lost in 0..2 {
        let dir = tempfile::tempdir().unwrap();
        let (_, mut group) = start_group(dir.path()).await;
        let leader = wait_for_leader(&group).await;
        let leader = group.remove(leader);
        group.remove(lost).kill();
        let grace = Duration::from_hours(1);
        let stopped = tokio::time::timeout(WAIT_TIMEOUT, leader.shutdown(grace)).await;
        assert!(
            stopped.is_ok(),
            "the leader waits for a successor that has stopped"
        );
        for control in group {
            control.kill();
        }
    }
}
