//! In a drill the store comes back from a copy that is some seconds old; then the operator empties a
//! zone.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_harness_2::gateway::Gateway;
use review_harness_2::server::{Runs, Server};
use review_harness_2::store::Store;
use review_harness_2::{client, finish, has_trouble, record, table};

const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "hobart-c"];
/// Zone that is emptied.
const ZONE: &str = "hobart-c";
/// Servers, as many as in the deployment.
const SERVERS: u8 = 12;
/// Time between two requests to each gateway: 56 a second in all, as in the deployment.
const REQUEST_GAP: Duration = Duration::from_millis(71);
/// `evacuateMs` of the deployment.
const EVACUATE: Duration = Duration::from_millis(5_000);
/// Age of the copy.
const COPY_AGE: Duration = Duration::from_secs(6);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(2);
/// Time from the return of the store to the evacuation, over `contactMs` (3 s).
const CALM: Duration = Duration::from_secs(8);

fn main() {
    record::begin();
    let store = Store::start();
    let order = |key: &str, value: &[u8]| match store.put("keyed.op", key, value) {
        Some(offset) => record::say(&format!("confirmed op/{key} at offset {offset}")),
        None => {
            record::say(&format!("op/{key} is not confirmed"));
            finish(2);
        }
    };
    let zone_key = format!("evacuate/{ZONE}");
    order("config", table::config(1).as_bytes());
    let runs: Runs = Arc::default();
    for number in 0..SERVERS {
        Server::start(number, ZONES[usize::from(number) % 3], 12, &store, &runs);
    }
    let gateways: Vec<Gateway> = ["hobart-a", "hobart-a", "hobart-b", "hobart-c"]
        .iter()
        .enumerate()
        .map(|(number, zone)| Gateway::start(number as u8, zone, store.address, 2_000))
        .collect();
    if !gateways
        .iter()
        .all(|it| it.wait_ready(Duration::from_secs(10)))
    {
        record::say("a gateway is not ready");
        finish(2);
    }
    let served = Arc::new(AtomicU64::new(0));
    for gateway in &gateways {
        let (name, front, served) = (gateway.name.clone(), gateway.front, Arc::clone(&served));
        std::thread::spawn(move || {
            for number in 0.. {
                let (id, served) = (format!("{name}-{number}"), Arc::clone(&served));
                std::thread::spawn(move || {
                    let request = client::request("POST", "/quote/1", &id, 8_000, "quote");
                    let answer =
                        client::exchange(front, request.as_bytes(), Duration::from_secs(9));
                    let status = answer.map_or(0, |it| it.status());
                    record::line(&format!("answer id={id} status={status}"));
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                });
                sleep(REQUEST_GAP);
            }
        });
    }
    // More than the age of the copy, which holds all of this.
    sleep(COPY_AGE + Duration::from_secs(1));
    // An ordinary exercise: the zone is emptied and taken back, and the configuration changes.
    order(&zone_key, b"{}");
    for version in 2..=4 {
        sleep(Duration::from_secs(1));
        order("config", table::config(version).as_bytes());
    }
    sleep(Duration::from_secs(1));
    order(&zone_key, b"");
    sleep(Duration::from_secs(1));
    if has_trouble() {
        let left = Instant::now();
        store.leave();
        record::say("the store is away");
        sleep(AWAY);
        for (topic, kept, before) in store.restore(left, COPY_AGE) {
            record::say(&format!("restored {topic}: {kept} of {before} records"));
        }
        // What the operator wrote is written again: the newest value of each key.
        order("config", table::config(4).as_bytes());
        order(&zone_key, b"");
    }
    sleep(CALM);
    order(&zone_key, b"{}");
    let evacuated = Instant::now();
    let before = served.load(Ordering::Relaxed);
    sleep(EVACUATE + Duration::from_secs(10));
    let all = runs.lock().expect("runs").clone();
    let late = all
        .iter()
        .filter(|run| run.zone == ZONE && run.at > evacuated + EVACUATE);
    let late = late.count();
    let since = all
        .iter()
        .filter(|run| run.at > evacuated + EVACUATE)
        .count();
    for gateway in &gateways {
        for line in gateway.log_lines("event=zone ") {
            record::line(&format!("log of {}: {line}", gateway.name));
        }
    }
    let answers = served.load(Ordering::Relaxed) - before;
    record::say(&format!(
        "{late} of {since} requests reached {ZONE} later than {} ms after its evacuation was \
         confirmed; {answers} answers since then",
        EVACUATE.as_millis()
    ));
    if since == 0 {
        finish(2);
    }
    finish(i32::from(late > 0));
}
