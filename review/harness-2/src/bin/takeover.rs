//! The leader of the expert maps is killed when its order to go has gone unanswered. The order is carried
//! out while another leader rolls its switch back.

use std::thread::sleep;
use std::time::{Duration, Instant};

use review_harness_2::engine::{Group, Lateness, RANKS};
use review_harness_2::gateway::{Gateway, start_sidecar};
use review_harness_2::store::Store;
use review_harness_2::{client, common_port, finish, has_trouble, machine_ip, record, table};

const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "hobart-c"];
const GATEWAYS: u8 = 3;
/// Time for which requests come, and the time between two of them.
const LENGTH: Duration = Duration::from_secs(25);
const REQUEST_GAP: Duration = Duration::from_millis(60);
/// Time between two changes of the experts in demand.
const SHIFT_GAP: Duration = Duration::from_millis(3_400);

fn main() {
    record::begin();
    let store = Store::start();
    let config = table::with_engine(1, table::ENGINE);
    store.put("keyed.op", "config", config.as_bytes());
    let (group, servers) = Group::start(&store, &ZONES);
    group.set_lateness(Lateness::Takeover);
    let mut ips: Vec<_> = servers.iter().map(|it| it.ip()).collect();
    ips.extend((0..GATEWAYS).map(machine_ip));
    let port = common_port(&ips);
    for (number, server) in servers.iter().enumerate() {
        start_sidecar(number as u8, *server, port);
    }
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|it| Gateway::start_at(it, ZONES[usize::from(it)], store.address, 2_000, port))
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
    let (watched, others) = (group.clone(), gateways.clone());
    std::thread::spawn(move || {
        while has_trouble() {
            sleep(Duration::from_millis(1));
            let leader = others.iter().find(|it| it.leads());
            if let Some(leader) = leader.filter(|_| watched.has_late_go()) {
                leader.kill();
                record::say(&format!("killed the leader, {}", leader.name));
                return;
            }
        }
    });
    let start = Instant::now();
    let mut shifted = Instant::now();
    let mut number = 0;
    while start.elapsed() < LENGTH && group.result().0.is_empty() {
        if shifted.elapsed() >= SHIFT_GAP || number == 0 {
            shifted = Instant::now();
            group.shift();
        }
        let front = gateways[number % gateways.len()].front;
        let id = format!("quote-{number}");
        std::thread::spawn(move || {
            let request = client::request("POST", "/quote/1", &id, 8_000, "quote");
            let answer = client::exchange(front, request.as_bytes(), Duration::from_secs(9));
            let status = answer.map_or(0, |it| it.status());
            record::line(&format!("answer id={id} status={status}"));
        });
        number += 1;
        sleep(REQUEST_GAP);
    }
    let (broken, step, orders, late) = group.result();
    for gateway in &gateways {
        for event in ["event=map_", "event=group_", "event=lead", "event=order"] {
            for line in gateway.log_lines(event) {
                record::line(&format!("log of {}: {line}", gateway.name));
            }
        }
    }
    record::say(&format!(
        "{step} passes, {orders} orders to {RANKS} servers, {late} of them late"
    ));
    if let Some(first) = broken.first() {
        record::say(&format!("a pass began with different maps, {first}"));
        finish(1);
    }
    let changes = group.changes();
    record::say(&format!(
        "{changes} changes of the map, each of all servers at one pass"
    ));
    finish(if changes == 0 { 2 } else { 0 });
}
