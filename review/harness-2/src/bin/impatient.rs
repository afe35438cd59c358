//! A crowd of consumers that nobody controls asks and leaves at once; ordinary consumers come after it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use std::io::Write as _;

use review_harness_2::gateway::Gateway;
use review_harness_2::server::{Runs, Server};
use review_harness_2::store::Store;
use review_harness_2::{client, finish, has_trouble, record, table};

/// Consumers of the crowd.
const CROWD: u64 = 280;
/// Time for which the crowd comes.
const CROWD_TIME: Duration = Duration::from_secs(10);
/// Longest time after which a consumer of the crowd leaves, in microseconds.
const LONGEST_STAY: u64 = 60_000;
/// Time without any request after the crowd, over `contactMs` (3 s).
const CALM: Duration = Duration::from_secs(5);
/// Ordinary requests before and after, and the time between two of them.
const ORDINARY: u32 = 100;
const ORDINARY_GAP: Duration = Duration::from_millis(100);

/// Sends ordinary look-ups one after the other. Returns how many were served.
fn ordinary(front: SocketAddr, name: &str) -> u32 {
    let mut served = 0;
    for number in 0..ORDINARY {
        let id = format!("{name}-{number}");
        let request = client::request("GET", "/stock/1", &id, 1_000, "");
        let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
        let (status, body) = answer.map_or((0, Vec::new()), |it| (it.status(), it.body));
        let reason = if status == 200 {
            ""
        } else {
            &String::from_utf8_lossy(&body)
        };
        record::line(&format!("answer id={id} status={status} {reason}"));
        served += u32::from(status == 200);
        sleep(ORDINARY_GAP);
    }
    served
}

fn main() {
    record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", table::config(1).as_bytes());
    let runs: Runs = Arc::default();
    for (number, zone) in ["hobart-a", "hobart-b", "hobart-c"].iter().enumerate() {
        Server::start(number as u8, zone, 6, &store, &runs);
    }
    let gateway = Gateway::start(0, "hobart-a", store.address, 2_000);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record::say("the gateway is not ready");
        finish(2);
    }
    let front = gateway.front;
    let before = ordinary(front, "before");
    record::say(&format!(
        "before the crowd: {before} of {ORDINARY} ordinary requests served"
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    for number in 0..CROWD {
        let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
        std::thread::spawn(move || {
            let mut random = review_harness_2::seed() ^ (number + 1).wrapping_mul(0x9e37_79b9);
            while !stop.load(Ordering::Relaxed) {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                let id = format!("crowd-{number}-{}", sent.fetch_add(1, Ordering::Relaxed));
                let request = client::request("GET", "/stock/1", &id, 1_000, "");
                if !has_trouble() {
                    let _ = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
                    continue;
                }
                let stream = std::net::TcpStream::connect_timeout(&front, Duration::from_secs(1));
                if let Ok(mut stream) = stream {
                    let _ = stream.write_all(request.as_bytes());
                    sleep(Duration::from_micros(random % LONGEST_STAY));
                }
            }
        });
    }
    sleep(CROWD_TIME);
    stop.store(true, Ordering::Relaxed);
    let sent = sent.load(Ordering::Relaxed);
    record::say(&format!(
        "the crowd has sent {sent} requests, {CROWD} at a time at most"
    ));
    sleep(CALM);
    let ran = runs.lock().expect("runs").len();
    let begun = Instant::now();
    let after = ordinary(front, "after");
    let ran = runs.lock().expect("runs").len() - ran;
    let metrics = SocketAddr::new(front.ip(), 9464);
    let metrics = client::get(metrics, "/metrics", Duration::from_secs(1));
    let metrics = metrics.map_or(String::new(), |it| {
        String::from_utf8_lossy(&it.body).into_owned()
    });
    let running = metrics
        .lines()
        .find(|it| it.starts_with("sesamerock_running"));
    record::say(&format!(
        "after the crowd: {after} of {ORDINARY} ordinary requests served in {:.0?}, {ran} runs at \
         the servers; {} with no request there; process runs: {}; ready: {}",
        begun.elapsed(),
        running.unwrap_or("no metric"),
        gateway.runs(),
        gateway.is_ready()
    ));
    if before < ORDINARY / 2 {
        finish(2);
    }
    finish(i32::from(after * 4 < before));
}
