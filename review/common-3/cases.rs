//! The cases of this review that are scripts.

use super::*;

/// Index of the first entry among the processes; three control processes come before.
const FIRST_ENTRY: usize = 3;

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Callers leave while their entry is frozen for 0.42 s, and workers leave stops unanswered.
pub fn late_stops(world: &Arc<World>, trouble: bool) -> Result<Vec<String>, String> {
    /// Callers with long jobs, which leave: 30 of 90, a share of 0.33.
    const LEAVING: usize = 30;
    /// Callers with short jobs, which stay.
    const STAYING: usize = 60;
    let mut fleet = small_deployment(world, 2, 11)?;
    let long = job_body("{\"count\":4,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":2400}", "w2400 c1600");
    let short = job_body("{\"count\":1,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":60}", "w60 c1600");
    let mut broken = Vec::new();
    let mut round = 0;
    while world.record.begun.elapsed() < Duration::from_secs(100) && broken.is_empty() {
        let (own, other) = (round % 2, 1 - round % 2);
        round += 1;
        let send = |entry: usize, id: &str, body: &str| {
            let sent = submit(world, fleet.caller_address(entry), id, body, 8_000);
            sent.map_err(|error| format!("entry {entry}: {error}"))
        };
        let mut staying = Vec::new();
        for _ in 0..STAYING {
            staying.push(send(own, &new_id(world), &short)?);
        }
        wait_all(world, staying);
        let mut leaving = Vec::new();
        for _ in 0..LEAVING {
            leaving.push(send(own, &new_id(world), &long)?);
        }
        thread::sleep(Duration::from_millis(400));
        let frozen_at = Instant::now();
        if trouble {
            world.late_permille.store(500, Ordering::Relaxed);
            fleet.signal(FIRST_ENTRY + own, SIGSTOP);
            world.record.add(format!("entry {own} freezes; workers leave half of the start and stop orders unanswered"));
        }
        thread::sleep(Duration::from_millis(5));
        let left_at = Instant::now();
        let ids: Vec<String> = leaving.iter().map(|caller| caller.id.clone()).collect();
        for caller in leaving {
            caller.leave(world);
        }
        sleep_until(frozen_at + Duration::from_millis(420));
        if trouble {
            fleet.signal(FIRST_ENTRY + own, SIGCONT);
            world.record.add(format!("entry {own} wakes"));
        }
        sleep_until(left_at + Duration::from_millis(RESEND_MS - 10));
        if trouble {
            world.late_permille.store(0, Ordering::Relaxed);
            world.record.add("workers answer again");
        }
        sleep_until(left_at + Duration::from_millis(RESEND_MS));
        let mut waiting = Vec::new();
        for id in &ids {
            waiting.push(send(other, id, &long)?);
        }
        wait_all(world, waiting);
        for (one, two, overlap) in concurrent_runs(&world.seen()) {
            broken.push(format!(
                "TWICE: {}: run {} on worker {} from {:.1} ms ({}) and run {} on worker {} from {:.1} ms ({}), together for {:.1} ms",
                one.task,
                one.run,
                one.worker,
                world.record.ms(one.begun),
                one.how,
                two.run,
                two.worker,
                world.record.ms(two.begun),
                two.how,
                overlap.as_secs_f64() * 1_000.0
            ));
        }
    }
    broken.extend(fleet.ended());
    let runs = world.seen().len();
    world.record.add(format!("{round} rounds, {runs} runs"));
    if runs == 0 {
        return Err("nothing ran".to_owned());
    }
    Ok(broken)
}

/// Waits until all callers have their answers.
fn wait_all(world: &Arc<World>, callers: Vec<Caller>) {
    let wait = |caller: Caller| {
        let world = Arc::clone(world);
        thread::spawn(move || caller.wait(&world))
    };
    let threads: Vec<_> = callers.into_iter().map(wait).collect();
    for thread in threads {
        let _ = thread.join();
    }
}

/// A caller moves to another zone while its job runs, and cancels the job there.
pub fn cancel_elsewhere(world: &Arc<World>, trouble: bool) -> Result<Vec<String>, String> {
    let mut fleet = small_deployment(world, 2, 3)?;
    let steps = "{\"count\":1,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":4500},{\"count\":2,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":1500,\"after\":[0]}";
    let body = job_body(steps, "w4500 v1500 c1600");
    let id = new_id(world);
    let caller = submit(world, fleet.caller_address(0), &id, &body, 12_000).map_err(|error| error.to_string())?;
    thread::sleep(Duration::from_millis(700));
    let entry = usize::from(trouble);
    if trouble {
        world.record.add("caller: moves to the zone of entry 1; its open connection stays with entry 0");
    }
    let to = fleet.caller_address(entry);
    let answer = call(to, "DELETE", &format!("{QUEUE}{id}"), "", "", Duration::from_secs(4));
    let acknowledged = Instant::now();
    let (code, _) = answer.map_err(|error| format!("DELETE: {error}"))?;
    world.record.add(format!("caller: DELETE {id} at entry {entry} -> {code}"));
    if !(code == 410 || (200..300).contains(&code)) {
        return Err(format!("the cancelling was not acknowledged: {code}"));
    }
    let _ = caller.wait(world);
    thread::sleep(Duration::from_millis(500));
    let mut broken = Vec::new();
    for run in world.seen() {
        let limit = acknowledged + Duration::from_millis(CANCEL_MS);
        if run.begun > limit {
            let after = run.begun.duration_since(acknowledged).as_millis();
            broken.push(format!("UNASKED: {} run {} started {after} ms after the cancelling was acknowledged", run.task, run.run));
        }
        let ended = run.ended.unwrap_or_else(Instant::now);
        if ended > limit + Duration::from_millis(STOP_MS) {
            let after = ended.duration_since(acknowledged).as_millis();
            broken.push(format!("UNASKED: {} run {} ran until {after} ms after the cancelling was acknowledged", run.task, run.run));
        }
    }
    broken.extend(fleet.ended());
    Ok(broken)
}
