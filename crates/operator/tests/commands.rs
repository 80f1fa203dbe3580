//! Tests of the client and the commands against scripted control processes.

use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_config::{ConfigStore, PatchCommand};
use chestnutfork_net::{Body, HttpHandler, HttpServer, json_response};
use chestnutfork_operator::body::{
    AuditBody, AuditRecordBody, ErrorBody, OUTCOME_UNKNOWN, PatchBody, StatusBody, VerdictBody,
};
use chestnutfork_operator::{
    CommandOutput, ErrorKind, OperatorClient, OperatorCommand, OperatorError, OutputFormat,
};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Request received by a scripted control process, with the channel for its response.
type ReceivedRequest = (Request<Bytes>, oneshot::Sender<Response<Body>>);

#[derive(Clone)]
struct ForwardHandler(mpsc::UnboundedSender<ReceivedRequest>);

impl HttpHandler for ForwardHandler {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let (tx, rx) = oneshot::channel();
        let _ = self.0.send((req, tx));
        rx.await
            .unwrap_or_else(|_| json_response(StatusCode::INTERNAL_SERVER_ERROR, &"no response scripted"))
    }
}

/// Control process that returns scripted responses and forwards the requests that it receives.
struct ScriptedControl {
    address: SocketAddr,
    seen: Receiver<Request<Bytes>>,
    _server: HttpServer,
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is available")
}

async fn scripted_control(responses: Vec<(u16, Value)>) -> ScriptedControl {
    scripted_control_on(bind().await, responses)
}

fn scripted_control_on(socket: TcpListener, responses: Vec<(u16, Value)>) -> ScriptedControl {
    let (tx, rx) = mpsc::unbounded_channel();
    let server = HttpServer::builder(socket)
        .serve(ForwardHandler(tx))
        .expect("socket has an address");
    let (seen_tx, seen) = channel();
    tokio::spawn(respond(responses.into(), rx, seen_tx));
    ScriptedControl {
        address: server.address(),
        seen,
        _server: server,
    }
}

async fn respond(
    mut responses: VecDeque<(u16, Value)>,
    mut requests: mpsc::UnboundedReceiver<ReceivedRequest>,
    seen: Sender<Request<Bytes>>,
) {
    while let Some((req, reply)) = requests.recv().await {
        let _ = seen.send(req);
        if let Some((status, body)) = responses.pop_front() {
            let status = StatusCode::from_u16(status).expect("status is valid");
            let _ = reply.send(json_response(status, &body));
        }
    }
}

/// Address whose connections close after the request was read, so that the response is lost.
async fn response_dropping_address() -> SocketAddr {
    let socket = bind().await;
    let address = socket.local_addr().expect("socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
        }
    });
    address
}

/// Address without a listener.
async fn closed_address() -> SocketAddr {
    let socket = bind().await;
    socket.local_addr().expect("socket has an address")
}

fn client(addresses: &[SocketAddr]) -> OperatorClient {
    OperatorClient::builder(addresses, "token")
        .max_rounds(2)
        .initial_backoff(Duration::ZERO)
        .build()
        .expect("options are usable")
}

fn patch_file(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("folder is writable");
    path
}

fn patch(file: PathBuf) -> OperatorCommand {
    OperatorCommand::Patch {
        file,
        base: 7,
        reason: "more queue".into(),
        id: None,
        dry_run: false,
    }
}

async fn run_patch(client: &OperatorClient) -> Result<CommandOutput, OperatorError> {
    let folder = TempDir::new().expect("folder is created");
    let file = patch_file(
        &folder,
        "patch.yaml",
        "services: {desk: {max_queue: 5, retry: null}}",
    );
    patch(file).run(client, OutputFormat::Text).await
}

fn accepted() -> (u16, Value) {
    let difference = json!({ "path": "services.desk.max_queue", "old": "4", "new": null });
    (
        200,
        json!({ "verdict": "accepted", "version": 8, "differences": [difference] }),
    )
}

fn not_leader(leader: Option<SocketAddr>) -> (u16, Value) {
    let mut body = ErrorBody::new("not_leader", "send this to the leader");
    body.leader = leader;
    (
        if leader.is_some() { 421 } else { 503 },
        serde_json::to_value(body).expect("body is JSON"),
    )
}

fn decode_patch(request: &Request<Bytes>) -> PatchBody {
    serde_json::from_slice(request.body()).expect("request is a patch")
}

/// Guards against a client that stops at a follower, and against a patch that is altered on its way to the leader.
#[tokio::test]
async fn patch_follows_leader() {
    let leader = scripted_control(vec![accepted()]).await;
    let follower = scripted_control(vec![not_leader(Some(leader.address))]).await;
    let output = run_patch(&client(&[closed_address().await, follower.address]))
        .await
        .expect("patch is served");
    assert_eq!(output.exit_code, 0);
    let lines: Vec<&str> = output.text.lines().collect();
    assert_eq!(lines[0], "accepted as version 8");
    assert_eq!(lines[2], "KEY                      OLD  NEW");
    assert_eq!(lines[4], "services.desk.max_queue  4    -");
    let request = leader.seen.recv().expect("leader saw the patch");
    assert_eq!(request.headers()["authorization"], "Bearer token");
    let body = decode_patch(&request);
    assert_eq!(
        (body.base, body.reason.as_str(), body.dry_run),
        (7, "more queue", false)
    );
    assert_eq!(
        body.body,
        json!({ "services": { "desk": { "max_queue": 5, "retry": null } } })
    );
}

/// Guards against a resend with a new id, which could apply a patch twice.
#[tokio::test]
async fn patch_resends_lost_answer_with_same_id() {
    let unknown =
        serde_json::to_value(ErrorBody::new(OUTCOME_UNKNOWN, "the leader changed")).expect("body is JSON");
    let first = scripted_control(vec![(503, unknown), accepted()]).await;
    let output = run_patch(&client(&[first.address, response_dropping_address().await]))
        .await
        .expect("patch is served");
    assert_eq!(output.exit_code, 0);
    let ids: Vec<_> = first
        .seen
        .try_iter()
        .map(|request| decode_patch(&request).patch_id)
        .collect();
    assert_eq!(ids.len(), 2);
    assert_eq!(ids[0], ids[1]);
    assert!(output.text.contains(&ids[0].to_string()));
}

/// Guards against reporting a patch as not applied although its response was lost, and against reporting an unknown outcome
/// although no control process served the patch.
#[tokio::test]
async fn patch_without_response_reports_outcome() {
    let error = run_patch(&client(&[response_dropping_address().await]))
        .await
        .expect_err("no process responds");
    assert!(
        matches!(&error.kind, ErrorKind::OutcomeUnknown { remedy, .. } if remedy.contains("--id")),
        "{error}"
    );
    let follower = scripted_control(vec![not_leader(None), not_leader(None)]).await;
    let error = run_patch(&client(&[closed_address().await, follower.address]))
        .await
        .expect_err("no process is the leader");
    assert!(
        matches!(&error.kind, ErrorKind::NotServed { attempts } if attempts.len() == 2),
        "{error}"
    );
}

/// Guards against an endless loop of redirects between two processes that name each other as leader.
#[tokio::test]
async fn request_ends_on_redirect_loop() {
    let sockets = [bind().await, bind().await];
    let [first, second] = sockets
        .each_ref()
        .map(|socket| socket.local_addr().expect("socket has an address"));
    let [one, two] = sockets;
    let redirects_to = |leader| (0..30).map(|_| not_leader(Some(leader))).collect();
    let _controls = [
        scripted_control_on(one, redirects_to(second)),
        scripted_control_on(two, redirects_to(first)),
    ];
    let error = client(&[first])
        .status()
        .await
        .expect_err("no process is the leader");
    assert!(matches!(error.kind, ErrorKind::NotServed { .. }));
}

/// Guards against verdicts with an error status that are reported as failed requests or exit with code 0.
#[tokio::test]
async fn patch_shows_conflict_and_errors() {
    let conflict = json!({ "verdict": "conflict", "version": 9, "differences": [] });
    let error =
        json!({ "path": "services.desk.max_queue", "message": "0 is not allowed; set it to \u{1b}[2J1" });
    let invalid = json!({ "verdict": "invalid", "errors": [error] });
    let refusal =
        serde_json::to_value(ErrorBody::new("unauthorised", "unknown token")).expect("body is JSON");
    let control = scripted_control(vec![(409, conflict), (422, invalid), (401, refusal)]).await;
    let client = client(&[control.address]);
    let output = run_patch(&client).await.expect("patch is served");
    assert_eq!(output.exit_code, 2);
    assert!(output.text.contains("version 7, but version 9 is current"));
    let output = run_patch(&client).await.expect("patch is served");
    assert_eq!(output.exit_code, 3);
    assert!(
        output.text.contains("services.desk.max_queue: 0 is not allowed") && !output.text.contains('\u{1b}')
    );
    let error = run_patch(&client).await.expect_err("token is refused");
    assert!(matches!(&error.kind, ErrorKind::Refused { status: 401, code, .. } if code == "unauthorised"));
}

/// Guards against sending patch files that contain duplicate keys, syntax errors or no object.
#[tokio::test]
async fn patch_rejects_unusable_file() {
    let folder = TempDir::new().expect("folder is created");
    let client = client(&[closed_address().await]);
    let cases = [
        ("a.yaml", "x: 1\nx: 2"),
        ("b.yaml", "- x"),
        ("c.json", "{"),
        ("d.json", "[]"),
    ];
    for (name, text) in cases {
        let error = patch(patch_file(&folder, name, text))
            .run(&client, OutputFormat::Text)
            .await;
        assert!(matches!(error.expect_err(name).kind, ErrorKind::File { .. }));
    }
}

/// Guards against status output that does not mark processes with an outdated version, and JSON output that loses fields.
#[tokio::test]
async fn status_shows_outdated_processes() {
    let status = json!({
        "node": "control-2", "leader": "control-1", "term": 3, "version": 8,
        "replicas": [{ "name": "control-1", "replica": "18446744073709551615", "address": "127.0.0.1:7101",
                       "state": "leader", "log_index": 40 }],
        "view": { "number": 2, "entries": ["entry-1", "entry-2"] },
        "processes": [
            { "name": "entry-1", "role": "entry", "failure_domain": "fd-a", "version": 8, "silent_ms": 120 },
            { "name": "agent-1", "role": "agent", "failure_domain": "fd-b", "version": 7, "silent_ms": 4000 },
        ],
    });
    let control = scripted_control(vec![(200, status.clone()), (200, status.clone())]).await;
    let client = client(&[control.address]);
    let text = OperatorCommand::Status
        .run(&client, OutputFormat::Text)
        .await
        .expect("status is served")
        .text;
    assert!(text.starts_with("configuration version 8, in force in 1 of 2 processes\n"));
    assert!(text.contains("18446744073709551615"));
    assert!(
        text.lines()
            .any(|line| line.starts_with("agent-1") && line.contains("behind"))
    );
    let text = OperatorCommand::Status
        .run(&client, OutputFormat::Json)
        .await
        .expect("status is served")
        .text;
    assert_eq!(
        serde_json::from_str::<Value>(&text).expect("output is JSON"),
        status
    );
    let _: StatusBody = serde_json::from_value(status).expect("status is a body");
}

/// Guards against bodies that cannot be converted from or to the types of the configuration store.
#[tokio::test]
async fn bodies_convert_patch_verdict_and_audit_record() {
    let text = json!({
        "base": 0, "patch_id": "00000000-0000-0000-0000-000000000007", "reason": "desk",
        "body": { "services": { "desk": { "pool": "main" } } },
    });
    let body: PatchBody = serde_json::from_value(text).expect("text is a patch");
    let mut store = ConfigStore::default();
    let time = std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
    let command = PatchCommand {
        patch: body.into_patch("ann".into()),
        time,
    };
    let verdict = VerdictBody::from(store.apply(&command));
    assert_eq!(verdict.status(), 200);
    let records = store
        .audit_since(0)
        .map(|record| AuditRecordBody::new(record, 2, 3))
        .collect();
    let audit = serde_json::to_value(AuditBody { records, more: true }).expect("body is JSON");
    let control = scripted_control(vec![(200, audit)]).await;
    let command = OperatorCommand::Audit { since: 0 };
    let text = command
        .run(&client(&[control.address]), OutputFormat::Text)
        .await
        .expect("audit is served")
        .text;
    assert!(text.starts_with("version 1 (base 0) at 2023-11-14T22:13:20.000Z by ann: desk\n"));
    assert!(text.contains("in force in 2 of 3 processes") && text.contains("--since 1"));
    let request = control.seen.recv().expect("control saw the request");
    assert_eq!(
        request.uri().path_and_query().map(ToString::to_string).as_deref(),
        Some("/v1/audit?since=0")
    );
}

/// Guards against subcommands whose options cannot be parsed into a command.
#[test]
fn parse_invocation_accepts_every_command() {
    let parse = |line: &str| {
        let command = clap::Command::new("chestnutfork").subcommands(chestnutfork_operator::subcommands());
        let words = line
            .split(' ')
            .chain(["--control", "127.0.0.1:7100,127.0.0.1:7200"]);
        let matches = command.try_get_matches_from(words).expect("options are valid");
        let (name, matches) = matches.subcommand().expect("a subcommand is given");
        let invocation = chestnutfork_operator::parse_invocation(name, matches, Some("token".into()));
        invocation.expect("options are usable").expect("command is known")
    };
    let id = "00000000-0000-0000-0000-000000000007";
    let invocation = parse(&format!(
        "x patch p.yaml --base 7 --reason why --id {id} --dry-run --output json"
    ));
    let expected = OperatorCommand::Patch {
        file: "p.yaml".into(),
        base: 7,
        reason: "why".into(),
        id: Some(id.parse().expect("id is a UUID")),
        dry_run: true,
    };
    assert_eq!(
        (invocation.command, invocation.format),
        (expected, OutputFormat::Json)
    );
    assert_eq!(
        parse("x audit --since 4").command,
        OperatorCommand::Audit { since: 4 }
    );
    assert_eq!(parse("x config").command, OperatorCommand::Config);
    let expected = OperatorCommand::Replace {
        old: 1,
        new: 2,
        reason: "disk".into(),
    };
    assert_eq!(parse("x replace --old 1 --new 2 --reason disk").command, expected);
}
