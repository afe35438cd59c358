//! Consumers that nobody controls send headers without end to the directory.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_harness_2::gateway::Gateway;
use review_harness_2::server::{Runs, Server};
use review_harness_2::store::Store;
use review_harness_2::{client, finish, has_trouble, record, table};

/// Memory of the smallest front machine of the small deployments.
const MEMORY_KB: u64 = 390 * 1024;
/// Connections of the consumers, a quarter of the 6,150 descriptors of the machine.
const CONNECTIONS: usize = 1_500;
/// Bytes of each unfinished header.
const HEADER_BYTES: usize = 400_000;

fn main() {
    record::begin();
    let store = Store::start();
    store.put("keyed.op", "config", table::config(1).as_bytes());
    let runs: Runs = Arc::default();
    for (number, zone) in ["hobart-a", "hobart-b", "hobart-c"].iter().enumerate() {
        Server::start(number as u8, zone, 12, &store, &runs);
    }
    let gateway = Gateway::start(0, "hobart-a", store.address, 2_000);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record::say("the gateway is not ready");
        finish(2);
    }
    let ordinary = Arc::new(Mutex::new((0_u32, 0_u32)));
    let (counts, front) = (Arc::clone(&ordinary), gateway.front);
    std::thread::spawn(move || {
        for number in 0.. {
            let id = format!("ordinary-{number}");
            let request = client::request("GET", "/stock/1", &id, 1_000, "");
            let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(2));
            let status = answer.map_or(0, |it| it.status());
            record::line(&format!("answer id={id} status={status}"));
            let mut counts = counts.lock().expect("counts");
            counts.0 += 1;
            counts.1 += u32::from(status == 200);
            drop(counts);
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    std::thread::sleep(Duration::from_secs(2));
    record::say(&format!("before: VmRSS {} kB", gateway.memory_kb("VmRSS")));
    let mut held: Vec<TcpStream> = Vec::new();
    let piece = vec![b'a'; 50_000];
    if has_trouble() {
        for number in 0..CONNECTIONS {
            let to = gateway.directory;
            let mut stream = match TcpStream::connect_timeout(&to, Duration::from_secs(3)) {
                Ok(stream) => stream,
                Err(error) => {
                    record::say(&format!("connection {number} is not accepted: {error}"));
                    break;
                }
            };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
            let head = "GET /v1/resolve?name=desk.example HTTP/1.1\r\nHost: desk.example\r\nX-A: ";
            let mut sent = stream.write_all(head.as_bytes()).is_ok();
            for _ in 0..HEADER_BYTES / piece.len() {
                sent = sent && stream.write_all(&piece).is_ok();
            }
            record::line(&format!("directory connection {number} sent={sent}"));
            held.push(stream);
        }
        record::say(&format!("{} connections send headers", held.len()));
    }
    let end = Instant::now() + Duration::from_secs(5);
    let mut peak = 0;
    while Instant::now() < end {
        peak = peak.max(gateway.memory_kb("VmRSS"));
        std::thread::sleep(Duration::from_millis(100));
    }
    drop(held);
    let most = gateway.memory_kb("VmHWM");
    let runs_still = gateway.runs();
    let (sent, served) = *ordinary.lock().expect("counts");
    record::say(&format!("ordinary requests: {sent} sent, {served} served"));
    record::say(&format!(
        "peak of memory {most} kB (VmHWM), {peak} kB (VmRSS after the headers); the machine has \
         {MEMORY_KB} kB; process runs: {runs_still}"
    ));
    finish(i32::from(most > MEMORY_KB || !runs_still));
}
