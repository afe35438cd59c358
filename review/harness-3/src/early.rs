//! Servers answer long requests before they have read them, keep the channel and read on later.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::{self, Seen};
use crate::server::{Early, Server};
use crate::store::Store;
use crate::system::{Gateway, config, route, server};

/// Length of a long body, within the `maxBodyBytes` of the configuration (4,194,304).
const LONG: usize = 4_000_000;
/// Time from an early answer until the server reads on.
const PAUSE: Duration = Duration::from_secs(3);
/// Timeout of the route of the look-ups.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a consumer waits for a look-up.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// The slack of the rule after the timeout.
const SLACK: Duration = Duration::from_millis(500);
/// Long requests and look-ups, which are sent at even intervals within [`LENGTH`].
const UPLOADS: usize = 36;
const LOOKS: usize = 1_164;
const LENGTH: Duration = Duration::from_secs(20);
/// Zones of the servers, and of the gateways.
const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let mut servers = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let early = Early {
            from: LONG,
            pause: setting.trouble.then_some(PAUSE),
        };
        let id = format!("i-desk-{index}");
        let one = Server::start(&id, Duration::from_millis(15), early, record)?;
        let text = server("desk", one.address, zone, 6, "ready", 1_000 + index as u64);
        store.put("keyed.servers", &id, &text);
        servers.push(one);
    }
    let routes = [
        route("/place/", "unsafe", 8_000, 100, 1, "desk"),
        route("/look/", "safe", TIMEOUT.as_millis() as u64, 100, 2, "desk"),
    ];
    store.put("keyed.op", "config", &config(7, &routes, &["desk"]));
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(&setting.folder, &name, zone, &store)?);
    }
    // The gateways have been in touch for `contactMs` (3 s).
    thread::sleep(Duration::from_millis(4_000));
    let all: Arc<Mutex<Vec<(String, Seen)>>> = Arc::default();
    let start = Instant::now();
    let mut consumers = Vec::new();
    for index in 0..UPLOADS + LOOKS {
        let is_upload = index * UPLOADS % (UPLOADS + LOOKS) < UPLOADS;
        let front = gateways[index % gateways.len()].front;
        let (record, all) = (record.clone(), Arc::clone(&all));
        consumers.push(thread::spawn(move || {
            let id = format!("{}-{index:03}", if is_upload { "upload" } else { "look" });
            let body = vec![b'x'; if is_upload { LONG } else { 0 }];
            let (method, path, deadline) = if is_upload {
                ("POST", "/place/order", Duration::from_secs(8))
            } else {
                ("GET", "/look/stock", DEADLINE)
            };
            let request = http::request(method, path, &id, deadline, &[], &body);
            record.line(&format!("{id} is sent to {front}"));
            let seen = http::ask(front, &request, deadline);
            record.line(&format!("{id} {seen:?}"));
            let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
            all.push((id, seen));
        }));
        thread::sleep(LENGTH / (UPLOADS + LOOKS) as u32);
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let all = all.lock().unwrap_or_else(PoisonError::into_inner);
    let looks = all.iter().filter(|(id, _)| id.starts_with("look"));
    let looks: Vec<&(String, Seen)> = looks.collect();
    let open_at_timeout = looks.iter().filter(|(_, seen)| seen.took > TIMEOUT).count();
    let unanswered = looks
        .iter()
        .filter(|(_, seen)| seen.took > TIMEOUT + SLACK)
        .count();
    let served = looks.iter().filter(|(_, seen)| seen.status == 200).count();
    let uploads = all.iter().filter(|(id, _)| id.starts_with("upload"));
    let slow = uploads
        .filter(|(_, seen)| seen.took > TIMEOUT + SLACK)
        .count();
    record.line(&format!(
        "long requests {UPLOADS}, held for over 1.5 s {slow}"
    ));
    record.line(&format!(
        "look-ups {}, served {served}, still unanswered at the timeout {open_at_timeout}, \
         half a second later {unanswered}; played {:.1} s",
        looks.len(),
        start.elapsed().as_secs_f64()
    ));
    Ok(unanswered < 8 || unanswered * 2 <= open_at_timeout)
}
