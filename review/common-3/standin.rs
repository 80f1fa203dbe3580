//! Stand-ins for the scripts of this review: workers, callers, the operator and the start of the project's own programs.
//!
//! It uses the standard library only and is compiled by `build-3.sh`. Every process has a loopback address of its own, like a
//! machine of a small deployment, and the usual ports.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LINK_PORT: u16 = 7720;
const CALLER_PORT: u16 = 8161;
const WORKER_PORT: u16 = 8165;
const CONTROL_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
/// Figures of a small deployment (`sites/lsgc-setdesk.toml`).
const HOLD_MAX_MS: u64 = 1_000;
const STOP_MS: u64 = 50;
const CANCEL_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const RESEND_MS: u64 = 1_300;
const HEARTBEAT_MS: u64 = 1_500;
const HOST: &str = "desk.example";
const QUEUE: &str = "/q/";
const SERVICE: &str = "desk";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

fn signal(pid: u32, number: i32) {
    // SAFETY: the call has no memory effects; the process was started by this program and is not reaped yet.
    unsafe {
        kill(pid as i32, number);
    }
}

// ---------------------------------------------------------------- record

/// Log of what was sent, answered and run; it becomes `record.txt`.
struct Record {
    begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64() * 1_000.0
    }

    fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} ms  {}", self.ms(Instant::now()), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
}

/// Small generator of random numbers, seeded by the time.
struct Random(Mutex<u64>);

impl Random {
    fn new() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        Self(Mutex::new(nanos | 1))
    }

    fn unit(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
#[allow(dead_code, reason = "not every kind of value is read")]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = Self::value(&chars, &mut at)?;
        Some(value)
    }

    fn space(chars: &[char], at: &mut usize) {
        while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(chars: &[char], at: &mut usize) -> Option<Json> {
        Self::space(chars, at);
        match chars.get(*at)? {
            '{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::space(chars, at);
                    if *chars.get(*at)? == '}' {
                        *at += 1;
                        return Some(Json::Table(rows));
                    }
                    if *chars.get(*at)? == ',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Text(key) = Self::value(chars, at)? else {
                        return None;
                    };
                    Self::space(chars, at);
                    if *chars.get(*at)? != ':' {
                        return None;
                    }
                    *at += 1;
                    rows.push((key, Self::value(chars, at)?));
                }
            }
            '[' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::space(chars, at);
                    match chars.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Json::List(rows));
                        }
                        ',' => *at += 1,
                        _ => rows.push(Self::value(chars, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    match *chars.get(*at)? {
                        '"' => {
                            *at += 1;
                            return Some(Json::Text(text));
                        }
                        '\\' => {
                            *at += 1;
                            let escaped = *chars.get(*at)?;
                            text.push(match escaped {
                                'n' => '\n',
                                't' => '\t',
                                other => other,
                            });
                            *at += 1;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while chars.get(*at).is_some_and(|c| "+-.eE0123456789".contains(*c)) {
                    *at += 1;
                }
                let number: String = chars[from..*at].iter().collect();
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

// ---------------------------------------------------------------- HTTP

struct Message {
    first_line: String,
    headers: HashMap<String, String>,
    body: String,
}

fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends a request on a connection of its own and returns the status and the body.
fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write_request(&mut stream, method, path, headers, body)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    Ok((status(&answer), answer.body))
}

fn status(answer: &Message) -> u16 {
    answer
        .first_line
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

// ---------------------------------------------------------------- workers

/// Run in progress on a worker.
struct Active {
    begun: Instant,
    ends_at: Instant,
    how: &'static str,
    cpu: u64,
}

/// Run that has ended, or goes on (`ended` is `None`).
#[derive(Clone)]
struct Seen {
    task: String,
    run: u64,
    worker: usize,
    begun: Instant,
    ended: Option<Instant>,
    how: &'static str,
}

struct Worker {
    name: String,
    born: u64,
    started: Instant,
    lease_until: u64,
    token: u64,
    active: BTreeMap<(String, u64), Active>,
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    cpu: u64,
    seen: Vec<Seen>,
    draining: bool,
    /// When a heartbeat that says `draining` was acknowledged.
    drain_acknowledged: Option<Instant>,
}

impl Worker {
    fn clock(&self, now: Instant) -> u64 {
        // Real clocks do not begin at 0, so the first reading is a minute.
        60_000 + now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Ends what has ended by itself, by a stop or with the lease.
    fn advance(&mut self, index: usize, now: Instant) -> bool {
        let lapses = self.started + Duration::from_millis(self.lease_until.saturating_sub(60_000));
        let over: Vec<(String, u64)> = self
            .active
            .iter()
            .filter(|(_, run)| run.ends_at <= now || lapses <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &over {
            let run = self.active.remove(key).unwrap();
            let (how, at) = if run.ends_at <= lapses {
                (run.how, run.ends_at)
            } else {
                ("lapsed", lapses)
            };
            self.last_end += 1;
            self.ended.push((self.last_end, key.0.clone(), key.1, how));
            let highest = self.highest.entry(key.0.clone()).or_default();
            *highest = key.1.max(*highest);
            let _ = index;
            if let Some(seen) = self
                .seen
                .iter_mut()
                .rev()
                .find(|seen| seen.task == key.0 && seen.run == key.1)
            {
                seen.ended = Some(at);
                seen.how = how;
            }
        }
        !over.is_empty()
    }

    /// Returns the body of a heartbeat.
    fn heartbeat(&self, index: usize, ip: Ipv4Addr, sequence: u64) -> String {
        let (state, remaining) = if self.draining {
            ("draining", "\"remaining_ms\":2000,")
        } else {
            ("ready", "")
        };
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{ip}:{WORKER_PORT}\",\"zone\":\"z-{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",{remaining}\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-{}\"],\"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
            ["a", "b", "c"][index % 3],
            self.cpu,
            index / 3,
            self.clock(Instant::now()),
            self.born
        )
    }

    fn extend(&mut self, now: Instant, until: u64) {
        let longest = self.clock(now) + HOLD_MAX_MS;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    fn start(&mut self, index: usize, now: Instant, order: &Json) -> (u16, &'static str) {
        let (Some(task), Some(run), Some(until)) = (
            order.text("task"),
            order.number("run_id"),
            order.number("until_ms"),
        ) else {
            return (400, "");
        };
        let key = (task.to_owned(), run);
        if self.active.contains_key(&key) {
            self.extend(now, until);
            return (200, "");
        }
        if until <= self.clock(now) {
            return (409, "late");
        }
        self.extend(now, until);
        if run <= self.highest.get(task).copied().unwrap_or(0)
            || self
                .active
                .keys()
                .any(|(name, number)| name == task && *number >= run)
        {
            return (409, "old");
        }
        // The spec of a task states its work in ms and its CPU: "w2400 c1600".
        let spec = order.text("spec").unwrap_or_default();
        let figure = |letter: char| {
            let word = spec.split(' ').find(|word| word.starts_with(letter));
            word.and_then(|word| word[1..].parse::<u64>().ok()).unwrap_or(0)
        };
        let step = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse::<u32>().ok())
            .unwrap_or(0);
        let work = if step == 0 { figure('w') } else { figure('v') };
        let used: u64 = self.active.values().map(|run| run.cpu).sum();
        if used + figure('c') > self.cpu {
            return (409, "room");
        }
        let active = Active {
            begun: now,
            ends_at: now + Duration::from_millis(work),
            how: "done",
            cpu: figure('c'),
        };
        self.seen.push(Seen {
            task: task.to_owned(),
            run,
            worker: index,
            begun: active.begun,
            ended: None,
            how: "runs",
        });
        self.active.insert(key, active);
        (200, "")
    }

    fn stop(&mut self, now: Instant, order: &Json) -> (u16, &'static str) {
        let (Some(task), Some(run)) = (order.text("task"), order.number("run_id")) else {
            return (400, "");
        };
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        for ((name, number), active) in &mut self.active {
            // A stop takes up to `STOP_MS`.
            let stopped = now + Duration::from_millis(STOP_MS - 10);
            if name == task && *number <= run && active.ends_at > stopped {
                active.ends_at = stopped;
                active.how = "stopped";
            }
        }
        (200, "")
    }

    fn lists(&self, now: Instant) -> String {
        let running: Vec<String> = self
            .active
            .keys()
            .map(|(task, run)| format!("[\"{task}\",{run},\"\",50,0]"))
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock(now),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}

/// Workers and the disruption of their orders.
struct World {
    record: Record,
    random: Random,
    workers: Mutex<Vec<Worker>>,
    changed: Condvar,
    /// Share of the start and stop orders that get no answer and are carried out late, in thousandths.
    late_permille: AtomicU64,
    stopped: AtomicBool,
}

impl World {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            record: Record {
                begun: Instant::now(),
                lines: Mutex::new(Vec::new()),
            },
            random: Random::new(),
            workers: Mutex::new(Vec::new()),
            changed: Condvar::new(),
            late_permille: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        })
    }

    fn add_worker(self: &Arc<Self>, ip: Ipv4Addr, cpu: u64) -> io::Result<()> {
        let listener = TcpListener::bind((ip, WORKER_PORT))?;
        let mut workers = self.workers.lock().unwrap();
        let index = workers.len();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        workers.push(Worker {
            name: format!("i-{index:04x}"),
            born,
            started: Instant::now(),
            lease_until: 0,
            token: 0,
            active: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            cpu,
            seen: Vec::new(),
            draining: false,
            drain_acknowledged: None,
        });
        let world = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = Arc::clone(&world);
                thread::spawn(move || world.serve(index, stream));
            }
        });
        let world = Arc::clone(self);
        thread::spawn(move || world.announce(index, ip));
        Ok(())
    }

    fn announce(&self, index: usize, ip: Ipv4Addr) {
        let mut sequence = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            sequence += 1;
            let (name, body, draining) = {
                let workers = self.workers.lock().unwrap();
                let worker = &workers[index];
                (
                    worker.name.clone(),
                    worker.heartbeat(index, ip, sequence),
                    worker.draining,
                )
            };
            let acknowledged = {
                let to = SocketAddr::new(IpAddr::V4(ip), CONTROL_PORT);
                let sent = call(
                    to,
                    "PUT",
                    &format!("/instances/{name}"),
                    "",
                    &body,
                    Duration::from_secs(1),
                );
                matches!(sent, Ok((200, _)))
            };
            if draining {
                let mut workers = self.workers.lock().unwrap();
                self.record.add(format!(
                    "worker {index}: heartbeat {sequence} says draining, acknowledged: {acknowledged}"
                ));
                if acknowledged {
                    workers[index].drain_acknowledged.get_or_insert(Instant::now());
                }
            }
            // A worker says at once that it drains.
            let until = Instant::now() + Duration::from_millis(if acknowledged { HEARTBEAT_MS } else { 200 });
            let changed = || self.workers.lock().unwrap()[index].draining != draining;
            while Instant::now() < until && !changed() && !self.stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Sends a heartbeat of another writer, which lacks fields and counts on its own.
    fn foreign_heartbeat(&self, index: usize, ip: Ipv4Addr) -> Result<(), String> {
        let (name, body) = {
            let workers = self.workers.lock().unwrap();
            let worker = &workers[index];
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{ip}:{WORKER_PORT}\",\"zone\":\"z-{}\",\"state\":\"ready\",\"capacity\":{{\"cpu\":{},\"mem_mb\":65536}},\"born\":{},\"sequence\":4000}}",
                ["a", "b", "c"][index % 3],
                worker.cpu,
                worker.born
            );
            (worker.name.clone(), body)
        };
        let to = SocketAddr::new(IpAddr::V4(ip), CONTROL_PORT);
        let answer = call(
            to,
            "PUT",
            &format!("/instances/{name}"),
            "",
            &body,
            Duration::from_secs(1),
        );
        self.record.add(format!(
            "another writer: heartbeat for {name} without some fields: {body} -> {answer:?}"
        ));
        answer.map(|_| ()).map_err(|error| error.to_string())
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let path = request
                .first_line
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            let order = Json::parse(&request.body).unwrap_or(Json::Null);
            let instance = request
                .headers
                .get("expect-instance")
                .cloned()
                .unwrap_or_default();
            let late = self.late_permille.load(Ordering::Relaxed);
            let is_order = path == "/run-start" || path == "/run-stop";
            if is_order && self.random.unit() * 1_000.0 < late as f64 {
                let delay = 2_000 + (self.random.unit() * 10_000.0) as u64;
                self.record.add(format!(
                    "worker {index}: no answer to {path} {}, carried out {delay} ms later",
                    describe(&order)
                ));
                thread::scope(|scope| {
                    scope.spawn(|| {
                        let until = Instant::now() + Duration::from_millis(delay);
                        while Instant::now() < until && !self.stopped.load(Ordering::Relaxed) {
                            thread::sleep(Duration::from_millis(20));
                        }
                        if !self.stopped.load(Ordering::Relaxed) {
                            self.carry_out(index, &path, &instance, &order);
                        }
                    });
                    // The caller closes the connection when its time is over.
                    let mut rest = [0; 64];
                    while reader.read(&mut rest).is_ok_and(|bytes| bytes > 0) {}
                    let _ = writer.shutdown(Shutdown::Both);
                });
                return;
            }
            let (code, body) = self.carry_out(index, &path, &instance, &order);
            let text = format!(
                "HTTP/1.1 {code} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, index: usize, path: &str, instance: &str, order: &Json) -> (u16, String) {
        let now = Instant::now();
        let mut workers = self.workers.lock().unwrap();
        let worker = &mut workers[index];
        if instance != worker.name {
            return (421, "{}".to_owned());
        }
        worker.advance(index, now);
        let token = order.number("fencing_token").unwrap_or(0);
        let answer = |worker: &Worker, code: u16, reason: &str| {
            let clock = worker.clock(Instant::now());
            let reason = if reason.is_empty() {
                String::new()
            } else {
                format!(",\"reason\":\"{reason}\"")
            };
            (code, format!("{{\"clock_ms\":{clock}{reason}}}"))
        };
        if token < worker.token {
            return answer(worker, 409, "fence");
        }
        worker.token = token;
        match path {
            "/run-start" => {
                let (code, reason) = worker.start(index, now, order);
                self.record.add(format!(
                    "worker {index}: start {} -> {code} {reason}",
                    describe(order)
                ));
                answer(worker, code, reason)
            }
            "/run-stop" => {
                let (code, reason) = worker.stop(now, order);
                self.record
                    .add(format!("worker {index}: stop {} -> {code}", describe(order)));
                answer(worker, code, reason)
            }
            "/hold" => {
                if let Some(until) = order.number("until_ms") {
                    worker.extend(now, until);
                }
                let last_seen = order.number("last_seen").unwrap_or(0);
                worker.ended.retain(|(number, ..)| *number > last_seen);
                let wait = Duration::from_millis(order.number("wait_ms").unwrap_or(0).min(2_000));
                let until = now + wait;
                loop {
                    let now = Instant::now();
                    workers[index].advance(index, now);
                    if !workers[index].ended.is_empty() || now >= until {
                        let lists = workers[index].lists(now);
                        drop(workers);
                        // The lists are long, so that shorter answers may overtake them.
                        thread::sleep(Duration::from_millis(1));
                        return (200, lists);
                    }
                    let (guard, _) = self
                        .changed
                        .wait_timeout(workers, (until - now).min(Duration::from_millis(3)))
                        .unwrap();
                    workers = guard;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// Returns all runs that any worker has seen.
    fn seen(&self) -> Vec<Seen> {
        let now = Instant::now();
        let mut workers = self.workers.lock().unwrap();
        let mut seen = Vec::new();
        for (index, worker) in workers.iter_mut().enumerate() {
            worker.advance(index, now);
            seen.extend(worker.seen.iter().cloned());
        }
        seen
    }
}

fn describe(order: &Json) -> String {
    format!(
        "{} run {}",
        order.text("task").unwrap_or("?"),
        order.number("run_id").unwrap_or(0)
    )
}

/// Returns the pairs of runs of one task that were in progress at the same time, on two workers.
fn concurrent_runs(seen: &[Seen]) -> Vec<(Seen, Seen, Duration)> {
    let mut by_task: HashMap<&str, Vec<&Seen>> = HashMap::new();
    for run in seen {
        by_task.entry(&run.task).or_default().push(run);
    }
    let now = Instant::now();
    let mut pairs = Vec::new();
    for runs in by_task.values() {
        for (at, one) in runs.iter().enumerate() {
            for other in &runs[at + 1..] {
                let from = one.begun.max(other.begun);
                let to = one.ended.unwrap_or(now).min(other.ended.unwrap_or(now));
                if to > from {
                    pairs.push(((*one).clone(), (*other).clone(), to - from));
                }
            }
        }
    }
    pairs
}

// ---------------------------------------------------------------- the project's programs

struct Process {
    child: Child,
    name: String,
}

struct Fleet {
    folder: PathBuf,
    net: u8,
    controls: usize,
    processes: Vec<Process>,
}

impl Fleet {
    fn new(controls: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        // A network whose first address has no listener on the usual ports.
        let free = |net: &u8| {
            let ports = [LINK_PORT, CONTROL_PORT, CALLER_PORT];
            ports
                .iter()
                .all(|&port| TcpListener::bind((Ipv4Addr::new(127, *net, 0, 1), port)).is_ok())
        };
        let first = 20 + (std::process::id() % 200) as u8;
        let net = (first..=240).find(free).ok_or(io::ErrorKind::AddrInUse)?;
        Ok(Self {
            folder,
            net,
            controls,
            processes: Vec::new(),
        })
    }

    fn control_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, 1 + index as u8)
    }

    fn entry_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, 1 + index as u8)
    }

    fn agent_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, 1 + index as u8)
    }

    fn start(&mut self, role: &str, class: &str, index: usize, ip: Ipv4Addr) -> io::Result<usize> {
        let zone = ["a", "b", "c"][index % 3];
        let name = format!("{class}-z-{zone}-{index}");
        let seeds: Vec<String> = (0..self.controls.min(3))
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.control_ip(seed)))
            .collect();
        let data = self.folder.join(format!("data-{name}"));
        let data_dir = if role == "control" {
            std::fs::create_dir_all(&data)?;
            format!("\"{}\"", data.display())
        } else {
            "null".to_owned()
        };
        let (listen, memory) = match role {
            "entry" => (
                format!("\"frontend\":\"{ip}:{CALLER_PORT}\",\"readiness\":\"{ip}:{READY_PORT}\""),
                260,
            ),
            "agent" => (format!("\"control\":\"{ip}:{CONTROL_PORT}\""), 128),
            _ => (format!("\"control\":\"{ip}:{CONTROL_PORT}\""), 256),
        };
        let app = if role == "agent" {
            format!("\"app\":\"{ip}:{WORKER_PORT}\",\"service\":\"{SERVICE}\",")
        } else {
            String::new()
        };
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{class}\",\"ip\":\"{ip}\",\"zone\":\"z-{zone}\",\"region\":\"z\",\
             \"zones\":{{\"z-a\":\"z\",\"z-b\":\"z\",\"z-c\":\"z\"}},\"listen_addrs\":{{{listen}}},\"internal_ports\":[{LINK_PORT},{}],\
             \"seeds\":[{}],\"bootstrap\":true,\"fault_counted\":{},\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":{memory},\"max_fds\":4096,\"link_mbps\":1000.0,\"disk_mb\":128}},\
             \"data_dir\":{data_dir},\"discovery\":\"local\",\"entry\":\"vip\",\"heartbeat_ms\":{HEARTBEAT_MS},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"],\
             \"fault_tolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},{app}\"config_mode\":\"highest\",\"orders\":\"call\",\
             \"bounds\":{{\"seed_lag_s\":3,\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":6,\"config_apply_ms\":2000,\"hold_max_ms\":{HOLD_MAX_MS},\"stop_ms\":{STOP_MS},\"cancel_ms\":{CANCEL_MS},\"remote_factor\":1.5,\"resend_ms\":{RESEND_MS}}}}}",
            LINK_PORT + 15,
            seeds.join(","),
            role == "control",
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")))?;
        // The command of the deploy file, without the port of the metrics.
        let mut command = Command::new("target/release/chestnutfork");
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["fleet", role])
            .env("CHESTNUTFORK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.push(Process { child, name });
        Ok(self.processes.len() - 1)
    }

    fn signal(&self, process: usize, number: i32) {
        signal(self.processes[process].child.id(), number);
    }

    fn caller_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.entry_ip(entry)), CALLER_PORT)
    }

    /// Reports the processes that have ended although nobody ended them.
    fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|process| {
            let status = process.child.try_wait().ok().flatten()?;
            Some(format!("{} ended: {status}", process.name))
        });
        ended.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            signal(process.child.id(), SIGCONT);
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{QUEUE}\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":60,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":3,\"stretch_factor\":1.6}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Starts a small deployment and waits until both entries are ready.
fn small_deployment(world: &Arc<World>, entries: usize, workers: usize) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(3).map_err(|error| format!("no free addresses: {error}"))?;
    let started = |result: io::Result<usize>| {
        result
            .map(|_| ())
            .map_err(|error| format!("cannot start: {error}"))
    };
    for index in 0..3 {
        let ip = fleet.control_ip(index);
        started(fleet.start("control", "core", index, ip))?;
    }
    for index in 0..entries {
        let ip = fleet.entry_ip(index);
        started(fleet.start("entry", "frontend", index, ip))?;
    }
    for index in 0..workers {
        let ip = fleet.agent_ip(index);
        started(fleet.start("agent", "side", index, ip))?;
        let cpu = if index % 3 == 2 { 24_000 } else { 16_000 };
        world
            .add_worker(ip, cpu)
            .map_err(|error| format!("worker: {error}"))?;
    }
    let begun = Instant::now();
    let mut next = 0;
    while begun.elapsed() < Duration::from_secs(10) {
        let to = SocketAddr::new(IpAddr::V4(fleet.control_ip(next % 3)), CONTROL_PORT);
        next += 1;
        let answer = call(to, "PUT", "/config", "", &configuration(), Duration::from_secs(1));
        if matches!(answer, Ok((200, _))) {
            world.record.add("operator: configuration 7 acknowledged");
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    for entry in 0..entries {
        let to = SocketAddr::new(IpAddr::V4(fleet.entry_ip(entry)), READY_PORT);
        loop {
            if matches!(
                call(to, "GET", "/ready", "", "", Duration::from_secs(1)),
                Ok((200, _))
            ) {
                break;
            }
            if begun.elapsed() > Duration::from_secs(15) {
                return Err(format!("entry {entry} is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    // All agents have a link to all entries, and their workers have announced themselves.
    thread::sleep(Duration::from_millis(2_500));
    Ok(fleet)
}

// ---------------------------------------------------------------- callers

/// Caller that waits for the answer of its job.
struct Caller {
    id: String,
    stream: TcpStream,
}

fn job_body(steps: &str, spec: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"best_effort\":true,\"steps\":[{steps}]}}")
}

fn submit(world: &World, to: SocketAddr, id: &str, body: &str, deadline_ms: u64) -> io::Result<Caller> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let headers = format!("Deadline-Ms: {deadline_ms}\r\n");
    write_request(&mut stream, "POST", &format!("{QUEUE}{id}"), &headers, body)?;
    world.record.add(format!("caller: POST {id} at {to}"));
    Ok(Caller {
        id: id.to_owned(),
        stream,
    })
}

impl Caller {
    fn wait(self, world: &World) -> Option<u16> {
        let answer = read_message(&mut BufReader::new(&self.stream));
        match answer {
            Ok(answer) => {
                world.record.add(format!(
                    "caller: {} answered {} {}",
                    self.id,
                    status(&answer),
                    answer.body
                ));
                Some(status(&answer))
            }
            Err(error) => {
                world
                    .record
                    .add(format!("caller: {} got no answer ({error})", self.id));
                None
            }
        }
    }

    fn leave(self, world: &World) {
        world.record.add(format!("caller: {} leaves", self.id));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn new_id(world: &World) -> String {
    let high = (world.random.unit() * f64::from(u32::MAX)) as u64;
    let low = (world.random.unit() * f64::from(u32::MAX)) as u64;
    format!("{high:08x}{low:08x}")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = World::new();
    let result = match case.as_str() {
        "late-stops" => cases::late_stops(&world, trouble),
        "foreign-heartbeat" => cases::foreign_heartbeat(&world, trouble),
        _ => Err(format!("unknown case `{case}`")),
    };
    world.stopped.store(true, Ordering::Relaxed);
    let (line, code) = match result {
        Ok(broken) if broken.is_empty() => ("held".to_owned(), 0),
        Ok(broken) => (format!("broken:\n{}", broken.join("\n")), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    world.record.add(&line);
    let lines = world.record.lines.lock().unwrap().join("\n");
    let _ = std::fs::write(Path::new(&folder).join("record.txt"), lines + "\n");
    println!("{case} (trouble {}): {line}", u8::from(trouble));
    std::process::exit(code);
}

mod cases;
