//! Gateways are killed and start again while one partition of the store is down.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
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

const GATEWAYS: u8 = 4;
/// Requests a second that a server tolerates while it is cold.
const COLD_PER_S: f64 = 5.0;
/// `coldOverage` and `coldSlack` of the sheets.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const COLD: Duration = Duration::from_secs(3);
/// Requests in a second at which the cold server crashes: well above those that it tolerates.
const CRASH: usize = 4 * COLD_PER_S as usize;
/// Work of an order.
const WORK: Duration = Duration::from_millis(100);
/// How long the partition is down: platform_down of the site.
const DOWN: Duration = Duration::from_millis(4_500);
/// Pause of each of the consumers between two requests.
const PAUSE: Duration = Duration::from_millis(300);
const CONSUMERS: usize = 6;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let network = Network::new();
    let folder = Folder::new(network);
    let store = Store::start(network.ip(250));
    let route = Route {
        name: "order",
        kind: "unsafe",
        service: "desk",
        timeout_ms: 1_000,
        target_ms: 100,
        attempts: 2,
    };
    store.put(
        "keyed.op",
        "config",
        &config(1, &[route], &[("desk", COLD_PER_S)], 1 << 20),
    );
    let server = Server::start(network.ip(100), "i-0", 6, record, |_| Act::Work(WORK));
    let put = |cold| {
        store.put(
            "keyed.servers",
            "i-0",
            &server.entry("desk", "hobart-a", cold),
        )
    };
    put(Duration::ZERO);
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
    let over = Arc::new(AtomicBool::new(false));
    // When the consumers have sent their requests.
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut consumers = Vec::new();
    for (index, front) in gateways.iter().map(Gateway::front).enumerate() {
        for consumer in 0..CONSUMERS {
            let (record, over) = (Arc::clone(record), Arc::clone(&over));
            let sent = Arc::clone(&sent);
            consumers.push(thread::spawn(move || {
                thread::sleep(PAUSE * consumer as u32 / CONSUMERS as u32);
                let mut number = 0;
                while !over.load(Ordering::Relaxed) {
                    let id = format!("c{index}-{consumer}-{number}");
                    let request = Request {
                        method: "POST",
                        path: "/order/x",
                        host: HOST,
                        id: &id,
                        deadline: Duration::from_secs(1),
                        fields: &[],
                        body: b"",
                    };
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let (seen, _) = http::exchange(front, &request, Duration::from_secs(1));
                    if seen != Seen::Unconnected {
                        record.line(format_args!("consumer id={id} sees {seen:?}"));
                    }
                    number += 1;
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    if trouble {
        store.set_down("keyed.sesamerock-nodes", true);
        record.say("one partition of the store is down");
    }
    let down_at = Instant::now();
    if trouble {
        for gateway in &mut gateways {
            gateway.kill();
        }
        record.say("all gateways are killed");
        thread::sleep(Duration::from_millis(500));
    }
    put(COLD);
    server.set_bears(CRASH);
    let cold_at = Instant::now();
    record.say("the server is cold");
    if trouble {
        for gateway in &mut gateways {
            gateway.restart();
        }
    }
    thread::sleep(COLD / 2);
    let directories: Vec<Option<u16>> = gateways
        .iter()
        .map(|it| it.resolve().map(|(status, _)| status))
        .collect();
    record.say(format_args!("the directories answer {directories:?}"));
    thread::sleep(COLD / 2);
    let cold_end = Instant::now();
    put(Duration::ZERO);
    server.set_bears(0);
    thread::sleep(DOWN.saturating_sub(down_at.elapsed()));
    store.set_down("keyed.sesamerock-nodes", false);
    thread::sleep(Duration::from_secs(3));
    over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().unwrap();
    let arrivals: Vec<(Instant, Instant)> = server
        .arrivals()
        .into_iter()
        .filter(|(at, _)| *at >= cold_at && *at <= cold_end)
        .filter_map(|(at, id)| Some((at, *sent.get(&id)?)))
        .collect();
    // A request counts in a second in which it was both sent and has arrived.
    let inside = |from: Instant| {
        let end = from + Duration::from_secs(1);
        let both = arrivals
            .iter()
            .filter(|(at, sent)| *sent >= from && *at < end);
        both.count()
    };
    let most = arrivals
        .iter()
        .map(|(_, sent)| inside(*sent))
        .max()
        .unwrap_or(0);
    let bound = COLD_PER_S * OVERAGE + SLACK;
    record.say(format_args!(
        "most arrivals at the cold server in a second: {most}, bound {bound}"
    ));
    if let Some(cut) = server.cut() {
        record.say(format_args!(
            "orders that ran at the server when it crashed: {cut}"
        ));
    }
    if arrivals.is_empty() {
        return Verdict::NotRun("nothing arrived at the cold server".to_owned());
    }
    if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
