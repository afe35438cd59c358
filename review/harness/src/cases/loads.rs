//! All gateways but one are lost for good while their servers are busy.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{HOST, Route, config};
use crate::Verdict;
use crate::http::{self, Request, Seen};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::store::Store;
use crate::system::{Folder, Gateway, Network};

const GATEWAYS: u8 = 6;
const SERVERS: u8 = 3;
const SLOTS: usize = 12;
/// Events of a stream, and the pause before each.
const EVENTS: u32 = 24;
const PAUSE: Duration = Duration::from_millis(100);
/// Requests a second: 1.3 times what 36 slots can serve of streams that last 2.4 s.
const PER_S: u64 = 20;
const DEADLINE: Duration = Duration::from_secs(8);
/// Traffic before the loss.
const BEFORE: Duration = Duration::from_secs(15);
/// `recoveryS` of the sheets.
const RECOVERY: Duration = Duration::from_secs(12);
/// Length of the span in which requests are counted after that.
const AFTER: Duration = Duration::from_secs(30);
/// TTL of the addresses.
const REFRESH: Duration = Duration::from_secs(1);

/// When a request was sent, and whether it was served.
type Sent = Arc<Mutex<Vec<(Instant, bool)>>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let network = Network::new();
    let folder = Folder::new(network);
    let store = Store::start(network.ip(250));
    let route = Route {
        name: "quote",
        kind: "streaming",
        service: "assist",
        timeout_ms: 8_000,
        target_ms: 500,
        attempts: 2,
    };
    store.put(
        "keyed.op",
        "config",
        &config(1, &[route], &[("assist", 38.0)], 1 << 20),
    );
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start(network.ip(100 + index), &id, SLOTS, record, |_| {
                Act::Stream(EVENTS, PAUSE)
            })
        })
        .collect();
    for server in &servers {
        let entry = server.entry("assist", "hobart-a", Duration::ZERO);
        store.put("keyed.servers", server.id(), &entry);
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| {
            let name = format!("front-hobart-a-{}", index + 1);
            Gateway::start(&folder.0, &name, network.ip(1 + index), store.address)
        })
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::NotRun("a gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));

    let sent: Sent = Arc::default();
    let addresses: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    refresh(&gateways, &addresses);
    let sender = send_all(record, &sent, &addresses, &stop);
    let begin = Instant::now();
    while begin.elapsed() < BEFORE {
        thread::sleep(REFRESH);
        refresh(&gateways, &addresses);
    }
    let loads: Vec<_> = servers.iter().map(Server::load).collect();
    record.say(format_args!(
        "running and waiting at the servers: {loads:?}"
    ));
    let lost_at = Instant::now();
    if trouble {
        for gateway in &mut gateways[1..] {
            gateway.kill();
        }
        gateways.truncate(1);
        record.say(format_args!(
            "{} of {GATEWAYS} gateways are lost for good",
            GATEWAYS - 1
        ));
    }
    while lost_at.elapsed() < RECOVERY + AFTER {
        thread::sleep(REFRESH);
        refresh(&gateways, &addresses);
    }
    let loads: Vec<_> = servers.iter().map(Server::load).collect();
    record.say(format_args!(
        "running and waiting at the servers: {loads:?}"
    ));
    stop.store(true, Ordering::Relaxed);
    let _ = sender.join();
    thread::sleep(DEADLINE);

    let sent = sent.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let counted: Vec<bool> = sent
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .map(|(_, ok)| *ok)
            .collect();
        let served = counted.iter().filter(|ok| **ok).count();
        (
            served,
            counted.len(),
            served as f64 / counted.len().max(1) as f64,
        )
    };
    let before = share(begin, lost_at);
    let after = share(lost_at + RECOVERY, lost_at + RECOVERY + AFTER);
    record.say(format_args!(
        "served before: {} of {} ({:.2})",
        before.0, before.1, before.2
    ));
    record.say(format_args!(
        "served of those sent later than recoveryS after: {} of {} ({:.2})",
        after.0, after.1, after.2
    ));
    if before.2 < 0.25 {
        return Verdict::NotRun("under a quarter was served before".to_owned());
    }
    if after.2 < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Asks the directory of the first gateway that answers, as consumers do.
fn refresh(gateways: &[Gateway], addresses: &Mutex<Vec<SocketAddr>>) {
    for gateway in gateways {
        if let Some((200, body)) = gateway.resolve() {
            let list = body.split('[').nth(1).and_then(|it| it.split(']').next());
            let list = list.unwrap_or_default().split(',');
            let list = list.filter_map(|it| it.trim_matches('"').parse().ok());
            *addresses.lock().unwrap() = list.collect();
            return;
        }
    }
}

/// Sends requests at an even pace, each on a new channel to a random address.
fn send_all(
    record: &Arc<Record>,
    sent: &Sent,
    addresses: &Arc<Mutex<Vec<SocketAddr>>>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, sent) = (Arc::clone(record), Arc::clone(sent));
    let (addresses, stop) = (Arc::clone(addresses), Arc::clone(stop));
    thread::spawn(move || {
        let numbers = AtomicU64::new(0);
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            next += Duration::from_micros(1_000_000 / PER_S);
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let number = numbers.fetch_add(1, Ordering::Relaxed);
            let list = addresses.lock().unwrap().clone();
            let (record, sent) = (Arc::clone(&record), Arc::clone(&sent));
            thread::spawn(move || {
                let at = Instant::now();
                let id = format!("q-{number}");
                let request = Request {
                    method: "POST",
                    path: "/quote/x",
                    host: HOST,
                    id: &id,
                    deadline: DEADLINE,
                    fields: &[],
                    body: b"a prompt",
                };
                // Consumers leave out the addresses that have failed them.
                let mut seen = Seen::Unconnected;
                for turn in 0..list.len() {
                    let index = (number as usize * 7 + turn) % list.len();
                    seen = http::exchange(list[index], &request, DEADLINE).0;
                    if seen != Seen::Unconnected {
                        break;
                    }
                }
                record.line(format_args!("consumer id={id} sees {seen:?}"));
                let served = matches!(seen, Seen::Answer(status, true) if status < 300);
                sent.lock().unwrap().push((at, served));
            });
        }
    })
}
