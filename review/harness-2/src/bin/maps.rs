//! Servers leave some orders unanswered and carry them out seconds later, in a quiet night.

use std::thread::sleep;
use std::time::Duration;

use review_harness_2::engine::{Group, RANKS};
use review_harness_2::gateway::{Gateway, start_sidecar};
use review_harness_2::store::Store;
use review_harness_2::{client, common_port, finish, machine_ip, record, table};

const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "hobart-c"];
/// Visits of consumers in a quiet night, and the time from one to the next.
const VISITS: u32 = 7;
const VISIT_GAP: Duration = Duration::from_millis(12_000);
/// Requests of a visit, and the time between two of them.
const REQUESTS: usize = 2;
const REQUEST_GAP: Duration = Duration::from_millis(50);

fn main() {
    record::begin();
    let store = Store::start();
    let config = table::with_engine(1, table::ENGINE);
    store.put("keyed.op", "config", config.as_bytes());
    let (group, servers) = Group::start(&store, &ZONES);
    let mut ips: Vec<_> = servers.iter().map(|it| it.ip()).collect();
    ips.extend((0..2).map(machine_ip));
    let port = common_port(&ips);
    for (number, server) in servers.iter().enumerate() {
        start_sidecar(number as u8, *server, port);
    }
    let gateways: Vec<Gateway> = (0..2)
        .map(|it| Gateway::start_at(it, ZONES[usize::from(it)], store.address, 2_000, port, ""))
        .collect();
    if !gateways
        .iter()
        .all(|it| it.wait_ready(Duration::from_secs(10)))
    {
        record::say("a gateway is not ready");
        finish(2);
    }
    // The leader finds the group.
    sleep(Duration::from_secs(5));
    for visit in 0..VISITS {
        group.shift();
        record::say(&format!("visit {visit}"));
        for number in 0..REQUESTS {
            let front = gateways[number % gateways.len()].front;
            let id = format!("visit-{visit}-{number}");
            std::thread::spawn(move || {
                let request = client::request("POST", "/quote/1", &id, 8_000, "quote");
                let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(9));
                let status = answer.map_or(0, |it| it.status());
                record::line(&format!("answer id={id} status={status}"));
            });
            sleep(REQUEST_GAP);
        }
        sleep(VISIT_GAP);
        let (broken, step, ..) = group.result();
        record::say(&format!(
            "pass {step}; {} passes with different maps",
            broken.len()
        ));
        if !broken.is_empty() {
            break;
        }
    }
    for gateway in &gateways {
        for event in ["event=map_", "event=group_", "event=lead", "event=order"] {
            for line in gateway.log_lines(event) {
                record::line(&format!("log of {}: {line}", gateway.name));
            }
        }
    }
    let (broken, step, orders, late) = group.result();
    let share = late as f64 / orders.max(1) as f64;
    record::say(&format!(
        "{step} passes, {orders} orders to {RANKS} servers, {late} of them late ({share:.2})"
    ));
    if let Some(first) = broken.first() {
        record::say(&format!(
            "{} passes began with different maps, first {first}",
            broken.len()
        ));
        finish(1);
    }
    let changes = group.changes();
    record::say(&format!(
        "{changes} changes of the map, each of all servers at one pass"
    ));
    // Without a change of the map nothing was tried.
    finish(if changes == 0 { 2 } else { 0 });
}
