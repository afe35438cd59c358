//! Ranks of a group send some answers twice, and carry some orders out late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::HOST;
use crate::Verdict;
use crate::group::{EXPERTS, Group, SETS, Trouble};
use crate::http::{self, Request, Seen};
use crate::record::Record;
use crate::store::Store;
use crate::system::{Folder, Gateway, Network, Sidecar};

const RANKS: u8 = 12;
const CONSUMERS: usize = 24;
const LENGTH: Duration = Duration::from_secs(90);
/// Pause between two changes of what is in demand: the shortest `gap_s` of `expert_shift` in the site.
const SHIFT: Duration = Duration::from_millis(3_400);
/// How long the disruptions last each time, and the pause after.
const ON: Duration = Duration::from_secs(5);
const OFF: Duration = Duration::from_secs(1);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(8);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"quote\",\"host\":\"{HOST}\",\"pathPrefix\":\"/quote/\",\
         \"kind\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":500,\"priority\":1,\
         \"service\":\"assist\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
         \"targetGapMs\":120}}],\"services\":[{{\"name\":\"assist\",\"healthPath\":\"/health\",\
         \"maxConns\":418,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0,\
         \"engine\":{{\"slots\":12,\"kvCapacityTokens\":280000,\"kvTokenBytes\":35136,\
         \"linkMbps\":44000.0,\"stride\":4,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.55,\
         \"per_seq_ms\":0.905,\"context_per_k\":0.0183,\"read_per_s\":61400.0,\"pairs_per_m\":0.525,\
         \"chunk\":512,\"report_lag_ms\":200.0,\"usual\":{{\"prompt\":835,\"answer\":97}},\
         \"sets\":{SETS},\"experts\":{EXPERTS},\"places\":11,\"spare\":4,\"expertMb\":2200.0,\
         \"expertShare\":0.85,\"form_ms\":600.0}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let network = Network::new();
    let folder = Folder::new(network);
    let store = Store::start(network.ip(250));
    store.put("keyed.op", "config", &config());
    let ips: Vec<_> = (0..RANKS).map(|index| network.ip(100 + index)).collect();
    // The doses of `garble` ("extra late") and `applied_late` in the site file.
    let doses = Trouble {
        extra_servers: usize::from(RANKS) * 6 / 10,
        extra: 0.03,
        late: 0.35,
    };
    let seed = u64::from(std::process::id());
    record.say(format_args!("seed {seed}"));
    let group = Group::start(&ips, seed, doses, record);
    for index in 0..usize::from(RANKS) {
        store.put(
            "keyed.servers",
            &format!("i-{index}"),
            &group.entry(index, "hobart-a"),
        );
    }
    let sidecars: Vec<Sidecar> = (0..usize::from(RANKS))
        .map(|index| {
            let name = format!("side-hobart-a-{}", index + 1);
            Sidecar::start(&folder.0, &name, ips[index], group.addresses[index])
        })
        .collect();
    let gateway = Gateway::start(&folder.0, "front-hobart-a-1", network.ip(1), store.address);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway is not ready".to_owned());
    }
    let over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (over, served) = (Arc::clone(&over), Arc::clone(&served));
            let front = gateway.front();
            thread::spawn(move || {
                let mut number = 0;
                while !over.load(Ordering::Relaxed) {
                    let id = format!("q{consumer}-{number}");
                    let request = Request {
                        method: "POST",
                        path: "/quote/x",
                        host: HOST,
                        id: &id,
                        deadline: DEADLINE,
                        fields: &[],
                        body: b"a prompt",
                    };
                    let (seen, _) = http::exchange(front, &request, DEADLINE);
                    served.fetch_add(
                        u64::from(seen == Seen::Answer(200, true)),
                        Ordering::Relaxed,
                    );
                    number += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let begin = Instant::now();
    let mut shifted_at = begin;
    let mut was_on = false;
    thread::sleep(Duration::from_secs(3));
    while begin.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(50));
        let round = (ON + OFF).as_millis();
        let is_on = trouble && begin.elapsed().as_millis() % round >= OFF.as_millis();
        if is_on != was_on {
            record.line(format_args!("disruptions on: {is_on}"));
            group.is_troubled.store(is_on, Ordering::Relaxed);
            was_on = is_on;
        }
        if shifted_at.elapsed() >= SHIFT {
            group.shift();
            shifted_at = Instant::now();
        }
        if group.results().1 > 0 {
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    let (switches, violations) = group.results();
    record.say(format_args!(
        "{} streams served, {switches} switches, {violations} passes with different maps, after {} s",
        served.load(Ordering::Relaxed),
        begin.elapsed().as_secs()
    ));
    drop(sidecars);
    drop(gateway);
    for consumer in consumers {
        let _ = consumer.join();
    }
    if switches == 0 {
        return Verdict::NotRun("the group was never switched to another map".to_owned());
    }
    if violations > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
