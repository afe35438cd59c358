//! Callers, which send calls to the gateways and check the answers.
//!
//! They resolve addresses at a gateway, send several calls on each connection, and do not
//! close a connection early when its gateway shuts down. For each gateway, one more task
//! requests versioned routes, since a gateway must not return to an older version of the
//! table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use sesamerock_standin::task::Task;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::recorder::SETTLE_TIME;
use crate::watcher;
use crate::world::{EVENTS_PER_STREAM, World};

/// Number of concurrent callers, each of which sends one call at a time.
const CALLERS: u64 = 18;
/// How long a caller waits for an answer; longer than any deadline or timeout of a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline that callers send with each call, in milliseconds.
const DEADLINE_MS: u64 = 2_500;
/// Time within which a new version of the table must be active at all gateways.
const ACTIVATION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of calls on one connection.
const CALLS_PER_CONNECTION: usize = 10;

/// Kind of a call, which selects its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Safe,
    Once,
    Stream,
}

/// Starts all callers. They stop when the returned tasks are dropped.
pub fn start(world: &World) -> Vec<Task> {
    let next_number = Arc::new(AtomicU64::new(0));
    let mut tasks: Vec<Task> = (0..CALLERS)
        .map(|caller| {
            let (world, next_number) = (world.clone(), Arc::clone(&next_number));
            Task(tokio::spawn(send_calls(world, caller, next_number)))
        })
        .collect();
    for number in 0..world.gateways.len() {
        let watched = world.clone();
        tasks.push(Task(tokio::spawn(watch_versions(watched, number))));
        if world.is_drill {
            let watched = world.clone();
            tasks.push(Task(tokio::spawn(watcher::watch(watched, number))));
        }
    }
    tasks
}

/// Sends calls of all kinds in an endless loop.
async fn send_calls(world: World, caller: u64, next_number: Arc<AtomicU64>) {
    let mut attempt = caller as usize;
    loop {
        attempt += 1;
        let directory = world
            .gateway(attempt % world.gateways.len())
            .process
            .settings
            .directory;
        let Some(address) = resolve(directory, attempt).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(Ok(mut stream)) = timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await else {
            continue;
        };
        for _ in 0..CALLS_PER_CONNECTION {
            let number = next_number.fetch_add(1, Ordering::Relaxed);
            let kind = match number % 5 {
                0 | 1 => Kind::Safe,
                2 | 3 => Kind::Once,
                _ => Kind::Stream,
            };
            let gateway = world.number_of(address);
            let id = format!("{caller:02}-{number:x}.g{gateway}");
            world.recorder.record_sent();
            let path = match kind {
                Kind::Safe => "safe",
                Kind::Once => "once",
                Kind::Stream => "stream",
            };
            let keep_open = send_call(&world, &mut stream, address, path, &id, kind).await;
            sleep(Duration::from_millis(20)).await;
            if !keep_open {
                break;
            }
        }
    }
}

/// Resolves the service name at a gateway and selects one of the addresses by `attempt`.
async fn resolve(directory: SocketAddr, attempt: usize) -> Option<SocketAddr> {
    let lookup = async {
        let mut stream = TcpStream::connect(directory).await.ok()?;
        let request = "GET /v1/resolve?name=soak.example HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let answer = read(&mut stream).await?;
        let list = answer.text.split_once("\"addresses\":[")?.1;
        let list = list.split_once(']')?.0;
        let addresses: Vec<SocketAddr> = list
            .split(',')
            .filter_map(|it| it.trim_matches('"').parse().ok())
            .collect();
        let index = attempt % addresses.len().max(1);
        addresses.get(index).copied()
    };
    timeout(Duration::from_secs(1), lookup).await.ok()?
}

/// An HTTP answer, possibly truncated.
#[derive(Debug)]
struct Answer {
    status: u16,
    text: String,
    /// Whether the body is complete according to its framing.
    is_complete: bool,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }
}

/// Sends one call and checks its answer. Returns whether the connection can be reused.
async fn send_call(
    world: &World,
    stream: &mut TcpStream,
    address: SocketAddr,
    path: &str,
    id: &str,
    kind: Kind,
) -> bool {
    let request = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let started = Instant::now();
    let Ok(answer) = timeout(ANSWER_TIMEOUT, read(stream)).await else {
        // A gateway that is or recently was suspended may not answer.
        if world.recorder.is_calm() {
            let text =
                format!("call {id} at {address} received no answer within {ANSWER_TIMEOUT:?}");
            world.recorder.record_violation(text);
        }
        return false;
    };
    let Some(answer) = answer else {
        return false;
    };
    check(world, &answer, id, kind);
    let late = started.elapsed() > Duration::from_millis(DEADLINE_MS) + SETTLE_TIME;
    if late && world.recorder.is_calm() {
        let text = format!("call {id} was answered only after {:?}", started.elapsed());
        world.recorder.record_violation(text);
    }
    answer.is_complete && answer.header("connection") != Some("close")
}

/// Checks that an answer belongs to this call, and that its body and status are valid.
fn check(world: &World, answer: &Answer, id: &str, kind: Kind) {
    let recorder = &world.recorder;
    let report = |what: &str| {
        let head: String = answer.text.chars().take(300).collect();
        recorder.record_violation(format!("call {id}: {what}: {head:?}"));
    };
    if answer
        .header("request-id")
        .is_some_and(|answered| answered != id)
    {
        report("the answer belongs to another call");
    }
    match answer.status {
        200 => {
            let signature = format!("s.{id}");
            if answer.header("response-signature") != Some(signature.as_str()) {
                report("the answer lacks the signature of the upstream");
            }
            let complete = if kind == Kind::Stream {
                check_events(answer, id, &report)
            } else {
                if answer.is_complete && answer.body() != id {
                    report("the body is not the one that the upstream sent");
                }
                answer.is_complete
            };
            if complete {
                recorder.record_served();
            }
        }
        408 | 421 | 429 | 503 if kind == Kind::Once => recorder.record_refused(id, answer.status),
        401 | 403 | 404 => report("the call is denied although every table allows it"),
        _ => {}
    }
}

/// Checks the events of a stream. Returns whether the stream is complete.
fn check_events(answer: &Answer, id: &str, report: &impl Fn(&str)) -> bool {
    let numbers: Vec<u64> = answer
        .body()
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    if !numbers.iter().copied().eq(1..=numbers.len() as u64) {
        report("events are missing, duplicated or out of order");
    }
    let data = answer.body().lines();
    let mut data = data.filter_map(|line| line.strip_prefix("data: "));
    if data.any(|data| !id.starts_with(data)) {
        report("an event belongs to another call");
    }
    let has_all = numbers.len() as u64 == EVENTS_PER_STREAM;
    if answer.is_complete && !has_all {
        report("the stream was terminated normally before its last event");
    }
    answer.is_complete && has_all
}

/// Requests, at one gateway, the route of the newest version that this gateway has served
/// and the route of the newest version in the store.
async fn watch_versions(world: World, number: usize) {
    let mut served = (0, 0);
    let mut newest = (0, Instant::now());
    loop {
        sleep(Duration::from_millis(100)).await;
        let version = world.version.load(Ordering::Relaxed);
        if version != newest.0 {
            newest = (version, Instant::now());
        }
        let (address, incarnation) = {
            let gateway = world.gateway(number);
            (gateway.process.front_address(), gateway.process.incarnation)
        };
        if served.0 != incarnation {
            served = (incarnation, 0);
        }
        for version in [served.1, version] {
            if version == 0 {
                continue;
            }
            let sent_at = Instant::now();
            let path = format!("v{version}");
            let status = route_status(address, &path, "key-1").await;
            let same_process = world.gateway(number).process.incarnation == incarnation;
            match status {
                Some(200) if same_process => served.1 = served.1.max(version),
                Some(404) if same_process && version <= served.1 => {
                    world.recorder.record_violation(format!(
                        "gateway {number} no longer serves version {version}, which it served before"
                    ));
                }
                Some(404)
                    if newest.1 + ACTIVATION_TIME + SETTLE_TIME < sent_at
                        && world.recorder.is_calm() =>
                {
                    let text = format!("gateway {number} does not serve version {version} in time");
                    world.recorder.record_violation(text);
                }
                _ => {}
            }
        }
    }
}

/// Returns the status that a gateway answers for a route and a key.
pub async fn route_status(address: SocketAddr, path: &str, key: &str) -> Option<u16> {
    let request_status = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!(
            "GET /{path}/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: probe\r\n\
             Deadline-Ms: 500\r\nAuthorization: Token {key}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(read(&mut stream).await?.status)
    };
    timeout(Duration::from_secs(1), request_status).await.ok()?
}

/// Reads one answer, which is truncated if the connection ends early. Returns `None` if the
/// connection ends before the end of the header.
async fn read(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(answer) = parse(&bytes).filter(|answer| answer.is_complete) {
            return Some(answer);
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return parse(&bytes),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length: ")?;
        value.trim().parse::<usize>().ok()
    });
    let is_complete = match length {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    };
    Some(Answer {
        status,
        text,
        is_complete,
    })
}
