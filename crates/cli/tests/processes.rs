//! Tests with all roles as separate processes of the binary; answers are checked against the journals of the targets.

mod cluster;

use chestnutfork_standin::RunOutcome;
use serde_json::json;

use cluster::{
    AGENTS, CONTROLS, Cluster, ENTRIES, Job, Reply, SERVICE, TARGET_TOKEN, TEAM_TOKEN, post, submit,
    wait_until,
};

/// Submits a job in a background task.
fn spawn_submission(
    cluster: &Cluster,
    entry: usize,
    job: &Job,
) -> tokio::task::JoinHandle<Result<Reply, String>> {
    let (address, body) = (cluster.addresses.entry(entry), job.body());
    tokio::spawn(async move { submit(address, SERVICE, TEAM_TOKEN, &body).await })
}

/// Guards against answers without a matching run on a target, and against repeated starts, with roles in separate processes.
#[tokio::test]
async fn processes_answer_every_job_once() {
    let cluster = Cluster::start().await;
    let jobs: Vec<Job> = (0..6).map(|_| Job::new(20, 20)).collect();
    let replies = jobs.iter().enumerate();
    let replies: Vec<_> = replies
        .map(|(index, job)| spawn_submission(&cluster, index % ENTRIES + 1, job))
        .collect();
    for (job, reply) in jobs.iter().zip(replies) {
        let reply = reply.await.unwrap().unwrap();
        cluster.assert_completed(job, &reply).await;
    }
}

/// Guards against a second start or a changed answer after the entry that owned the job was killed.
#[tokio::test]
async fn killed_entry_leaves_one_answer() {
    let mut cluster = Cluster::start().await;
    let job = Job::new(24, 500);
    let lost = spawn_submission(&cluster, 1, &job);
    cluster.wait_started(&job).await;
    cluster.entries[0].kill();
    assert!(lost.await.unwrap().is_err());
    // Until control has removed the lost entry from the view, a refusal must not claim that nothing ran.
    let answer = wait_until("the other entry answers the job", async || {
        let reply = cluster.submit(2, &job).await.unwrap();
        if reply.status == 200 {
            return Some(reply);
        }
        assert_eq!(reply.body["error"]["outcome"], "unknown", "{}", reply.body);
        None
    })
    .await;
    assert_eq!(answer.body["job_id"], job.id.to_string());
    assert_eq!(answer.body["tasks"].as_array().unwrap().len(), job.tasks);
    let again = cluster.submit(2, &job).await.unwrap();
    assert_eq!(again, answer);
    cluster.assert_started_once(&job).await;
}

/// Guards against a configuration that cannot be changed, or does not reach the processes, after the leader was killed.
#[tokio::test]
async fn killed_leader_leaves_patches_possible() {
    let mut cluster = Cluster::start().await;
    let leader = wait_until("control has a leader", async || {
        let status = cluster.status()?;
        Some(status["leader"].as_str()?.to_owned())
    })
    .await;
    let names = (1..=CONTROLS).map(|number| format!("control-{number}"));
    let leader = names.into_iter().position(|name| name == leader).unwrap();
    cluster.controls[leader].kill();
    let version = cluster
        .patch(&json!({
            "services": { "second": { "pool": "main" } },
            "teams": { "setters": { "services": [SERVICE, "second"] } },
        }))
        .await;
    wait_until("the version is in force everywhere", async || {
        let status = cluster.status()?;
        let processes = status["processes"].as_array()?;
        let current = processes.iter().filter(|process| process["version"] == version);
        (current.count() == ENTRIES + AGENTS).then_some(())
    })
    .await;
    let job = Job::new(8, 10);
    for entry in 1..=ENTRIES {
        let address = cluster.addresses.entry(entry);
        let reply = submit(address, "second", TEAM_TOKEN, &job.body()).await.unwrap();
        cluster.assert_completed(&job, &reply).await;
    }
}

/// Guards against a graceful shutdown of an entry that drops a pending request (R7) or exits with a failure code.
#[tokio::test]
async fn terminated_entry_answers_its_jobs() {
    let mut cluster = Cluster::start().await;
    let job = Job::new(24, 500);
    let reply = spawn_submission(&cluster, 1, &job);
    cluster.wait_started(&job).await;
    cluster.entries[0].terminate();
    let reply = reply.await.unwrap().unwrap();
    cluster.assert_completed(&job, &reply).await;
    let code = cluster.entries[0].exit_code().await;
    let log = cluster.entries[0].log();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("process stopped"), "{log}");
    let next = Job::new(4, 10);
    let reply = wait_until("the other entry completes a job", async || {
        let reply = cluster.submit(2, &next).await.unwrap();
        (reply.status == 200).then_some(reply)
    })
    .await;
    cluster.assert_completed(&next, &reply).await;
}

/// Guards against a second signal that does not end the grace period, or an exit code 0 with unfinished work.
#[tokio::test]
async fn second_signal_ends_entry_at_once() {
    let mut cluster = Cluster::start().await;
    let job = Job::new(1, 50_000);
    let reply = spawn_submission(&cluster, 1, &job);
    cluster.wait_started(&job).await;
    let mut entry = cluster.entries.remove(0);
    entry.terminate();
    wait_until("the entry drains", async || {
        entry.log().contains("process is draining").then_some(())
    })
    .await;
    entry.terminate();
    assert_eq!(entry.exit_code().await, Some(1));
    assert!(entry.log().contains("shutdown cut short"), "{}", entry.log());
    assert!(reply.await.unwrap().is_err());
}

/// Guards against a graceful shutdown of an agent that aborts running tasks or loses their results (R7).
#[tokio::test]
async fn terminated_agent_finishes_its_tasks() {
    let mut cluster = Cluster::start().await;
    let job = Job::new(24, 500);
    let reply = spawn_submission(&cluster, 1, &job);
    wait_until("the first target runs a task", async || {
        let journal = cluster.targets[0].journal().await.unwrap();
        journal.entries.first().map(drop)
    })
    .await;
    cluster.agents[0].terminate();
    let reply = reply.await.unwrap().unwrap();
    cluster.assert_completed(&job, &reply).await;
    let code = cluster.agents[0].exit_code().await;
    assert_eq!(code, Some(0), "{}", cluster.agents[0].log());
    let journal = cluster.targets[0].journal().await.unwrap();
    let mut runs = journal.entries.iter();
    assert!(runs.all(|entry| entry.outcome == Some(RunOutcome::Completed)));
}

/// Guards against a process that waits for one that has already exited when all processes are stopped.
#[tokio::test]
async fn terminated_cluster_stops_in_order() {
    let mut cluster = Cluster::start().await;
    let job = Job::new(24, 10);
    let reply = cluster.submit(1, &job).await.unwrap();
    cluster.assert_completed(&job, &reply).await;
    let job = Job::new(24, 10);
    let reply = cluster.submit(2, &job).await.unwrap();
    cluster.assert_completed(&job, &reply).await;
    let entries = std::mem::take(&mut cluster.entries);
    let agents = std::mem::take(&mut cluster.agents);
    let controls = std::mem::take(&mut cluster.controls);
    for mut process in entries.into_iter().chain(agents).chain(controls) {
        process.terminate();
        assert_eq!(process.exit_code().await, Some(0), "{}", process.log());
    }
}

/// Guards against accepting callers, operators, targets or processes that have no valid token or cluster secret.
#[tokio::test]
async fn unauthenticated_peer_cannot_submit_patch_announce_or_join() {
    let cluster = Cluster::start().await;
    let job = Job::new(1, 10);
    let entry = cluster.addresses.entry(1);
    for token in ["", "no team has this token", TARGET_TOKEN] {
        let reply = submit(entry, SERVICE, token, &job.body()).await.unwrap();
        assert_eq!(reply.status, 401);
        assert_eq!(reply.body["error"]["code"], "unauthorized");
    }
    let journals = cluster.journals().await;
    assert!(journals.iter().all(|journal| journal.entries.is_empty()));

    let version = cluster.version().unwrap();
    let file = cluster.patch_file(&json!({ "services": { "stolen": { "pool": "main" } } }));
    let base = version.to_string();
    let output = cluster
        .run_operator_command_with_invalid_token(&["patch", &file, "--base", &base, "--reason", "none"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("not_authenticated"));
    assert_eq!(cluster.version(), Some(version));

    let announcement =
        json!({ "target": "unauthenticated", "pool": "main", "slots": 8, "address": "127.0.0.1:9" });
    let agent = cluster.addresses.agent(1);
    let reply = post(agent, "/v1/announce", TEAM_TOKEN, &announcement)
        .await
        .unwrap();
    assert_eq!(reply.status, 401);

    let mut settings = cluster.addresses.agent_settings(AGENTS + 1);
    settings["cluster_secret"] = json!("another cluster secret");
    let agent = cluster.start_process("agent", "unauthenticated-agent", &settings);
    let mut settings = cluster.addresses.entry_settings(ENTRIES + 1);
    settings["cluster_secret"] = json!("another cluster secret");
    let entry = cluster.start_process("entry", "unauthenticated-entry", &settings);
    for process in [&agent, &entry] {
        wait_until("the link is rejected", async || {
            process.log().contains("link_authentication_failed").then_some(())
        })
        .await;
    }
    let status = cluster.status().unwrap();
    let known = status["processes"].as_array().unwrap().iter();
    let known: Vec<_> = known.map(|process| process["name"].as_str().unwrap()).collect();
    assert_eq!(known.len(), ENTRIES + AGENTS, "{known:?}");
    let status = cluster.entry_status(1).await.unwrap();
    assert_eq!(status["targets"].as_array().unwrap().len(), AGENTS);
}
