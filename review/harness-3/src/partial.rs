//! One topic of the store, that of the operator, gives no answers for a time, and the operator makes
//! a change when it does again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::{self, Seen};
use crate::server::{Early, Server};
use crate::store::Store;
use crate::system::{Gateway, Record, config, route, server};

/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from the change before the outage to its beginning, and from its end to the next change.
const BEFORE: Duration = Duration::from_millis(1_000);
const AFTER: Duration = Duration::from_millis(200);
/// `configApplyMs` and `contactMs` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the last change to the end of the traffic.
const LENGTH: Duration = Duration::from_secs(14);
const DEADLINE: Duration = Duration::from_millis(1_000);

/// A request that only one of two versions allows, or handles in this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// On a route that the new version moves from the service `old` to `new`.
    Moved,
    /// On a route that the new version adds.
    Added,
    /// With a key that the new version takes away.
    Revoked,
}

/// A request with the time at which it was sent.
type Sent = (Instant, Kind, String, Seen);

pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let zones = ["a", "b", "c"];
    for service in ["old", "new"] {
        for (index, zone) in zones.into_iter().enumerate() {
            let id = format!("i-{service}-{index}");
            let work = Duration::from_millis(15);
            let one = Server::start(&id, work, Early::default(), record)?;
            let text = server(service, one.address, zone, 6, "ready", 1_000 + index as u64);
            store.put("keyed.servers", &id, &text);
        }
    }
    let version = |number, service, has_more: bool| {
        let mut routes = vec![route("/look/", "safe", 1_000, 100, 2, service)];
        if has_more {
            routes.push(route("/more/", "safe", 1_000, 100, 2, "new"));
        }
        let text = config(number, &routes, &["old", "new"]);
        if has_more {
            text
        } else {
            text.replace("[\"key-of-one\"]", "[\"key-of-one\",\"key-of-two\"]")
        }
    };
    store.put("keyed.op", "config", &version(5, "old", false));
    let mut gateways = Vec::new();
    for (index, zone) in ["a", "a", "b", "c"].into_iter().enumerate() {
        let name = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(&setting.folder, &name, zone, &store)?);
    }
    let fronts: Vec<SocketAddr> = gateways.iter().map(|it| it.front).collect();
    thread::sleep(Duration::from_secs(4));
    store.put("keyed.op", "config", &version(7, "old", false));
    record.line("version 7 is confirmed");
    thread::sleep(BEFORE);
    if setting.trouble {
        store.silence(Some("keyed.op"));
        record.line("the topic of the operator gives no answers");
    }
    thread::sleep(OUTAGE);
    store.silence(None);
    let ended = Instant::now();
    record.line("the topic of the operator gives answers");
    thread::sleep(AFTER);
    store.put("keyed.op", "config", &version(9, "new", true));
    let confirmed = Instant::now();
    record.line("version 9 is confirmed: /look/ moves, /more/ is added, key-of-two is taken away");
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    send(&fronts, confirmed + LENGTH, record, &all);
    let mut bound = confirmed + CONFIG_APPLY;
    if setting.trouble {
        // Until then the core is not stable.
        bound = bound.max(ended + CONTACT);
    }
    let all = all.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(judge(record, &all, confirmed, bound))
}

fn send(fronts: &[SocketAddr], end: Instant, record: &Record, all: &Arc<Mutex<Vec<Sent>>>) {
    let mut consumers = Vec::new();
    let mut index = 0;
    while Instant::now() < end {
        for front in fronts.iter().copied() {
            let kind = [Kind::Moved, Kind::Added, Kind::Revoked][index % 3];
            let id = format!("{kind:?}-{index:04}-{}", front.port());
            let (record, all) = (record.clone(), Arc::clone(all));
            consumers.push(thread::spawn(move || {
                let path = if kind == Kind::Added {
                    "/more/x"
                } else {
                    "/look/x"
                };
                let mut request = http::request("GET", path, &id, DEADLINE, &[], b"");
                if kind == Kind::Revoked {
                    let text = String::from_utf8_lossy(&request);
                    request = text.replace("key-of-one", "key-of-two").into_bytes();
                }
                let at = Instant::now();
                record.line(&format!("{id} is sent to {front}"));
                let seen = http::ask(front, &request, DEADLINE + Duration::from_secs(1));
                record.line(&format!(
                    "{id} gets {} {:?} {}",
                    seen.status, seen.text, seen.error
                ));
                let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
                all.push((at, kind, id, seen));
            }));
        }
        index += 1;
        thread::sleep(Duration::from_millis(60));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
}

/// Returns whether no request sent after the bound was handled as only the older version allows.
fn judge(record: &Record, all: &[Sent], confirmed: Instant, bound: Instant) -> bool {
    let mut late = [0; 3];
    let mut last = Duration::ZERO;
    for (at, kind, id, seen) in all {
        let is_old = match kind {
            Kind::Moved => seen.text.starts_with("i-old-"),
            Kind::Added => [401, 403, 404].contains(&seen.status),
            Kind::Revoked => seen.status == 200,
        };
        if is_old {
            last = last.max(at.duration_since(confirmed));
        }
        if is_old && *at > bound {
            late[*kind as usize] += 1;
            let after = at.duration_since(confirmed).as_millis();
            record.line(&format!(
                "{id} is handled by the older version, sent {after} ms after"
            ));
        }
    }
    record.line(&format!(
        "requests {}; after the bound by the older version: run by the old service {}, refused on the \
         added route {}, run with the key that was taken away {}; the last one sent {} ms after the \
         confirmation, the bound being {} ms",
        all.len(),
        late[0],
        late[1],
        late[2],
        last.as_millis(),
        bound.duration_since(confirmed).as_millis()
    ));
    late.iter().sum::<u32>() == 0
}
