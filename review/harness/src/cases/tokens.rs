//! Two tenants each send one request with a senseless number of tokens.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::HOST;
use crate::Verdict;
use crate::http::{self, Request, Seen};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::store::Store;
use crate::system::{Folder, Gateway, Network};

/// Consumers of the third tenant. The servers and the gateway have a place for each of them: two
/// servers with two slots, and one request given ahead to each.
const CONSUMERS: usize = 6;
const EVENTS: u32 = 8;
const PAUSE: Duration = Duration::from_millis(100);
/// `timeoutMs` of the route, and the margin of the rule.
const TIMEOUT: Duration = Duration::from_secs(4);
const MARGIN: Duration = Duration::from_millis(500);
/// How long consumers wait.
const DEADLINE: Duration = Duration::from_secs(8);
/// `graceS` of the sheets.
const GRACE: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(20);
/// The largest number of 64 bits, which programs write for "no limit" or for -1.
const SENSELESS: &str = "18446744073709551615,80";
const USUAL: &str = "714,96";

fn config() -> String {
    let tenants = ["one", "two", "three"]
        .map(|name| format!("{{\"name\":\"{name}\",\"apiKeys\":[\"key-{name}\"]}}"));
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"quote\",\"host\":\"{HOST}\",\"pathPrefix\":\"/quote/\",\
         \"kind\":\"streaming\",\"timeoutMs\":{},\"targetLatencyMs\":1000,\"priority\":1,\
         \"service\":\"assist\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":false,\
         \"targetGapMs\":200}}],\"services\":[{{\"name\":\"assist\",\"healthPath\":\"/health\",\
         \"maxConns\":418,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        TIMEOUT.as_millis(),
        tenants.join(",")
    )
}

/// Sends a request of a tenant, and returns what was seen and how long it took.
fn send(
    record: &Record,
    front: std::net::SocketAddr,
    tenant: &str,
    tokens: &str,
    id: &str,
) -> (Seen, Duration) {
    let key = format!("Token key-{tenant}");
    let fields = [
        ("Authorization", key.as_str()),
        ("Model", "m"),
        ("Token-Usage", tokens),
    ];
    let request = Request {
        method: "POST",
        path: "/quote/x",
        host: HOST,
        id,
        deadline: DEADLINE,
        fields: &fields,
        body: b"a prompt",
    };
    record.line(format_args!(
        "tenant {tenant} sends id={id} Token-Usage: {tokens}"
    ));
    let (seen, time) = http::exchange(front, &request, DEADLINE);
    record.line(format_args!(
        "tenant {tenant} id={id} sees {seen:?} after {} ms",
        time.as_millis()
    ));
    (seen, time)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let network = Network::new();
    let folder = Folder::new(network);
    let store = Store::start(network.ip(250));
    store.put("keyed.op", "config", &config());
    let servers: Vec<Server> = (0..2)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start(network.ip(100 + index), &id, 2, record, |_| {
                Act::Stream(EVENTS, PAUSE)
            })
        })
        .collect();
    for server in &servers {
        let entry = server.entry("assist", "hobart-a", Duration::ZERO);
        store.put("keyed.servers", server.id(), &entry);
    }
    let mut gateway = Gateway::start(&folder.0, "front-hobart-a-1", network.ip(1), store.address);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway is not ready".to_owned());
    }
    let front = gateway.front();
    let over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (record, over) = (Arc::clone(record), Arc::clone(&over));
            thread::spawn(move || {
                let mut results = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let id = format!("c{consumer}-{}", results.len());
                    let at = Instant::now();
                    let (seen, time) = send(&record, front, "three", USUAL, &id);
                    results.push((at, seen, time));
                }
                results
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let begin = Instant::now();
    let tokens = if trouble { SENSELESS } else { USUAL };
    // Once more if the first ones found a free place.
    let others: Vec<_> = ["one", "two"]
        .into_iter()
        .map(|tenant| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                for number in 0..3 {
                    let id = format!("{tenant}-{number}");
                    let (seen, _) = send(&record, front, tenant, tokens, &id);
                    if seen == Seen::Nothing {
                        break;
                    }
                }
            })
        })
        .collect();
    while begin.elapsed() < AFTER {
        thread::sleep(Duration::from_millis(100));
    }
    record.say(format_args!(
        "the directory answers {:?}",
        gateway.resolve().map(|(status, _)| status)
    ));
    over.store(true, Ordering::Relaxed);
    for other in others {
        let _ = other.join();
    }
    gateway.signal("TERM");
    thread::sleep(GRACE + Duration::from_secs(1));
    record.say(format_args!(
        "ended after SIGTERM and graceS: {}",
        gateway.has_ended()
    ));
    let results: Vec<_> = consumers
        .into_iter()
        .filter_map(|it| it.join().ok())
        .flatten()
        .collect();
    let served = results
        .iter()
        .filter(|(at, seen, _)| *at < begin && *seen == Seen::Answer(200, true));
    record.say(format_args!("served before: {}", served.count()));
    let after: Vec<_> = results
        .iter()
        .filter(|(at, _, time)| *at + *time >= begin)
        .collect();
    // Only tenant three, whose requests are sound.
    let unanswered = after.iter().filter(|(_, _, time)| *time > TIMEOUT).count();
    let late = after
        .iter()
        .filter(|(_, _, time)| *time > TIMEOUT + MARGIN)
        .count();
    record.say(format_args!(
        "of {} sound requests after that, {unanswered} are unanswered at timeoutMs, {late} half a second later",
        after.len()
    ));
    if late >= 8 && late * 2 > unanswered {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
