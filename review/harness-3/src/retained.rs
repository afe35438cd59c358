//! A server leaves while a topic of the store that does not concern it is refused for a time.

use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http;
use crate::server::{Early, Server};
use crate::store::Store;
use crate::system::{Gateway, Record, config, route, server};

/// Topic that is refused: the gateways keep their own records there.
const TOPIC: &str = "keyed.sesamerock-nodes";
/// Length of the outage, and when in it the entry of the server is removed.
const OUTAGE: Duration = Duration::from_millis(4_500);
const REMOVED_AT: Duration = Duration::from_millis(500);
/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the beginning of the outage to the end of the traffic.
const LENGTH: Duration = Duration::from_secs(12);
const DEADLINE: Duration = Duration::from_millis(1_000);
const ZONES: [&str; 4] = ["a", "a", "b", "c"];

pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let mut servers = Vec::new();
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let id = format!("i-desk-{index}");
        let one = Server::start(&id, Duration::from_millis(15), Early::default(), record)?;
        let text = server("desk", one.address, zone, 6, "ready", 1_000 + index as u64);
        store.put("keyed.servers", &id, &text);
        servers.push(one);
    }
    let routes = [route("/look/", "safe", 1_000, 100, 2, "desk")];
    store.put("keyed.op", "config", &config(7, &routes, &["desk"]));
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(&setting.folder, &name, zone, &store)?);
    }
    let fronts: Vec<SocketAddr> = gateways.iter().map(|it| it.front).collect();
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let traffic = {
        let record = record.clone();
        thread::spawn(move || send(&fronts, start + LENGTH, &record))
    };
    if setting.trouble {
        store.refuse(Some(TOPIC));
        record.line(&format!("{TOPIC} is refused with 503"));
    }
    thread::sleep(REMOVED_AT);
    store.put("keyed.servers", "i-desk-0", "");
    record.line("the entry of i-desk-0 is removed, which goes on serving");
    thread::sleep(OUTAGE - REMOVED_AT);
    store.refuse(None);
    record.line(&format!("{TOPIC} is answered"));
    let _ = traffic.join();
    let handed_out = store.handed_out();
    // The last such read counts, as a read that was given up may be among them.
    let known = match handed_out.last() {
        Some(last) if handed_out.len() >= ZONES.len() => last,
        _ => return Err(io::Error::other("not all gateways have read the removal")),
    };
    let known_after = known.duration_since(start + REMOVED_AT).as_millis();
    let arrivals = &servers[0].arrivals;
    let arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    let mut late = 0;
    let mut last = 0;
    for (at, id) in arrivals.iter().filter(|(at, _)| *at > *known) {
        let after = at.duration_since(*known);
        last = after.as_millis();
        if after > DRAIN {
            late += 1;
            record.line(&format!(
                "i-desk-0 gets {id} {last} ms after all had read the removal"
            ));
        }
    }
    record.line(&format!(
        "all {} gateways had read the removal {known_after} ms after it; requests that reached the \
         server later than {} ms after that: {late}, the last one {last} ms after",
        ZONES.len(),
        DRAIN.as_millis()
    ));
    Ok(late == 0)
}

fn send(fronts: &[SocketAddr], end: Instant, record: &Record) {
    let mut consumers = Vec::new();
    let mut index = 0;
    while Instant::now() < end {
        for front in fronts.iter().copied() {
            let record = record.clone();
            consumers.push(thread::spawn(move || {
                let id = format!("look-{index:04}-{}", front.port());
                let request = http::request("GET", "/look/x", &id, DEADLINE, &[], b"");
                record.line(&format!("{id} is sent to {front}"));
                let seen = http::ask(front, &request, DEADLINE + Duration::from_secs(1));
                record.line(&format!(
                    "{id} gets {} {:?} {}",
                    seen.status, seen.text, seen.error
                ));
            }));
        }
        index += 1;
        thread::sleep(Duration::from_millis(60));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
}
