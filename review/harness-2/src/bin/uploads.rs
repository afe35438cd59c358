//! Consumers that nobody controls send long prompts; ordinary consumers ask beside them.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_harness_2::gateway::Gateway;
use review_harness_2::server::{Runs, Server};
use review_harness_2::store::Store;
use review_harness_2::{finish, has_trouble, record, table};

/// Memory of the smallest front machine of the deployment.
const MEMORY_MIB: u64 = 390;
/// Servers of the model service, as many as in the deployment, and their slots.
const SERVERS: u8 = 12;
const SLOTS: u32 = 12;
/// Ordinary consumers of streams: some 15 requests a second, a quarter of those of the deployment,
/// which has four gateways.
const STREAMS: usize = 24;
/// Ordinary consumers of look-ups.
const LOOKUPS: usize = 2;
/// Pause of a consumer between two requests.
const PAUSE: Duration = Duration::from_millis(100);
/// Retries of a consumer, as on the sheet of the deployment.
const RETRIES: u32 = 1;
/// Consumers of the crowd, each with one request at a time.
const CROWD: usize = 120;
/// Bytes of a prompt of the crowd, of four to a token: a quarter of `maxBodyBytes`, and 250,000 of
/// the 280,000 tokens for which a server has memory.
const PROMPT_BYTES: usize = 1_000_000;
/// Time without and with the crowd.
const CALM: Duration = Duration::from_secs(6);
const CROWD_TIME: Duration = Duration::from_secs(20);

/// How the requests of some consumers ended.
#[derive(Debug, Default)]
struct Ends {
    complete: AtomicU32,
    refused: AtomicU32,
    /// Answers that broke off, and connections that closed without an answer, also after the retry.
    unanswered: AtomicU32,
    /// Attempts that ended so.
    broken: AtomicU32,
    other: AtomicU32,
}

impl Ends {
    fn values(&self) -> [u32; 5] {
        let fields = [
            &self.complete,
            &self.refused,
            &self.unanswered,
            &self.broken,
            &self.other,
        ];
        fields.map(|it| it.load(Ordering::Relaxed))
    }

    fn text(&self) -> String {
        let [complete, refused, unanswered, broken, other] = self.values();
        format!(
            "{complete} served, {refused} refused, {unanswered} not answered, {other} with another \
             status ({broken} attempts broke off or got nothing)"
        )
    }
}

/// What a consumer has read of an answer.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    is_complete: bool,
    events: usize,
    retry_after: Duration,
}

fn ask(front: SocketAddr, request: &[u8], longest: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_read_timeout(Some(longest));
    let _ = stream.set_write_timeout(Some(longest));
    // A refusal may come before the end of the body.
    let _ = stream.write_all(request);
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8_lossy(&bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let head = head.to_ascii_lowercase();
    let after = head.lines().find_map(|it| it.strip_prefix("retry-after:"));
    let after = after.and_then(|it| it.trim().parse().ok());
    let is_chunked = head.contains("transfer-encoding: chunked");
    Answer {
        status: head
            .get(9..12)
            .and_then(|it| it.parse().ok())
            .unwrap_or_default(),
        is_complete: if is_chunked {
            body.ends_with("0\r\n\r\n")
        } else {
            is_closed
        },
        events: body.matches("\n\n").count(),
        retry_after: Duration::from_secs_f64(after.unwrap_or(0.0)),
    }
}

fn request(method: &str, path: &str, id: &str, further: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token key-1\r\nContent-Length: {}\r\nConnection: close\r\n{further}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request and its retry, and records how they ended.
fn consume(front: SocketAddr, ends: &Ends, name: &str, is_stream: bool) {
    let mut events = 0;
    for attempt in 0..=RETRIES {
        let id = format!("{name}-{attempt}");
        let answer = if is_stream {
            let mut further = "Deadline-Ms: 8000\r\nToken-Usage: 800,100\r\n".to_owned();
            if events > 0 {
                further += &format!("Last-Event-Id: {events}\r\n");
            }
            let request = request("POST", "/quote/1", &id, &further, &[b'q'; 1_000]);
            ask(front, &request, Duration::from_secs(9))
        } else {
            let request = request("GET", "/stock/1", &id, "Deadline-Ms: 1000\r\n", b"");
            ask(front, &request, Duration::from_secs(2))
        };
        events += answer.events;
        record::line(&format!(
            "answer id={id} status={} complete={} events={}",
            answer.status, answer.is_complete, answer.events
        ));
        let count = match answer.status {
            0 | 200 if !answer.is_complete => {
                ends.broken.fetch_add(1, Ordering::Relaxed);
                if attempt < RETRIES {
                    continue;
                }
                &ends.unanswered
            }
            200 => &ends.complete,
            429 | 503 => &ends.refused,
            _ => &ends.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
        return;
    }
}

fn main() {
    record::begin();
    let store = Store::start();
    let config = table::with_engine(1, table::SINGLE_ENGINE);
    store.put("keyed.op", "config", config.as_bytes());
    let runs: Runs = Arc::default();
    for number in 0..SERVERS {
        let zone = ["hobart-a", "hobart-b", "hobart-c"][usize::from(number) % 3];
        Server::start(number, zone, SLOTS, &store, &runs);
    }
    let gateway = Gateway::start_with_memory("hobart-a", store.address, 2_000, MEMORY_MIB);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record::say("the gateway is not ready");
        finish(2);
    }
    let front = gateway.front;
    let has_crowd = Arc::new(AtomicBool::new(false));
    let (calm, crowded) = (Arc::new(Ends::default()), Arc::new(Ends::default()));
    for consumer in 0..STREAMS + LOOKUPS {
        let has_crowd = Arc::clone(&has_crowd);
        let (calm, crowded) = (Arc::clone(&calm), Arc::clone(&crowded));
        std::thread::spawn(move || {
            for number in 0.. {
                let ends = if has_crowd.load(Ordering::Relaxed) {
                    &crowded
                } else {
                    &calm
                };
                let name = format!("ordinary-{consumer}-{number}");
                consume(front, ends, &name, consumer < STREAMS);
                sleep(PAUSE);
            }
        });
    }
    sleep(CALM);
    record::say(&format!("before the crowd: {}", calm.text()));
    has_crowd.store(true, Ordering::Relaxed);
    let crowd = Arc::new(Ends::default());
    let sent = Arc::new(AtomicU64::new(0));
    let members = if has_trouble() { CROWD } else { 0 };
    for member in 0..members {
        let (crowd, sent) = (Arc::clone(&crowd), Arc::clone(&sent));
        std::thread::spawn(move || {
            let body = vec![b'p'; PROMPT_BYTES];
            for number in 0.. {
                let id = format!("crowd-{member}-{number}");
                let further = "Deadline-Ms: 8000\r\nToken-Usage: 250000,100\r\n";
                let request = request("POST", "/quote/1", &id, further, &body);
                sent.fetch_add(1, Ordering::Relaxed);
                let answer = ask(front, &request, Duration::from_secs(9));
                record::line(&format!(
                    "answer id={id} status={} complete={}",
                    answer.status, answer.is_complete
                ));
                let count = match answer.status {
                    0 | 200 if !answer.is_complete => &crowd.unanswered,
                    200 => &crowd.complete,
                    429 | 503 => &crowd.refused,
                    _ => &crowd.other,
                };
                count.fetch_add(1, Ordering::Relaxed);
                sleep(PAUSE.max(answer.retry_after));
            }
        });
    }
    let begun = Instant::now();
    while begun.elapsed() < CROWD_TIME {
        sleep(Duration::from_secs(5));
        record::say(&format!("beside the crowd: {}", crowded.text()));
    }
    record::say(&format!(
        "the crowd has sent {} requests of {PROMPT_BYTES} bytes: {}",
        sent.load(Ordering::Relaxed),
        crowd.text()
    ));
    let closed = gateway.log_lines("event=caller_closed");
    for line in closed.iter().take(20) {
        record::line(&format!("log of {}: {line}", gateway.name));
    }
    let (peak, still_runs) = (gateway.memory_kb("VmHWM"), gateway.runs());
    let [served, refused, unanswered, _, other] = crowded.values();
    let all = served + refused + unanswered + other;
    record::say(&format!(
        "{unanswered} of {all} ordinary requests got no answer beside the crowd; peak of memory \
         {peak} kB of {} kB; process runs: {still_runs}",
        MEMORY_MIB * 1024
    ));
    let [served, _, unanswered_before, ..] = calm.values();
    if served == 0 || unanswered_before > 0 || all < 50 {
        finish(2);
    }
    // The rule allows none. A tenth leaves no doubt.
    finish(i32::from(unanswered * 10 > all));
}
