//! Stand-ins for the platform's store, servers and consumers, and the processes under test.
//!
//! Everything listens on loopback addresses and uses only the standard library.

pub mod client;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod record;
pub mod server;
pub mod store;
pub mod table;

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Returns the time since the start of the script.
pub fn elapsed() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// Returns a number that differs between runs.
pub fn seed() -> u64 {
    static SEED: OnceLock<u64> = OnceLock::new();
    *SEED.get_or_init(|| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let nanos = now.map_or(0, |it| it.as_nanos() as u64);
        nanos ^ (u64::from(std::process::id()) << 32)
    })
}

/// Returns the loopback address of a machine; those of one run differ from each other.
pub fn machine_ip(number: u8) -> IpAddr {
    let seed = seed();
    let low = (seed >> 8) as u8;
    IpAddr::V4(Ipv4Addr::new(127, 64 + (seed as u8 & 63), low, number + 1))
}

/// Returns a free port of an address, below those that the system gives to outgoing connections.
pub fn free_port(ip: IpAddr) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(number < 4_000, "no free port");
        let port = 25_000 + ((seed() % 3_000) as u16 + number) % 7_000;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Returns a port that is free at all of these addresses.
pub fn common_port(ips: &[IpAddr]) -> u16 {
    let first = 20_000 + (seed() % 1_000) as u16;
    let mut ports = first..first + 4_000;
    let is_free = |port: &u16| ips.iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok());
    ports.find(is_free).expect("no common port")
}

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    !std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}

/// Ends the script: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(code: i32) -> ! {
    gateway::kill_all();
    std::process::exit(code)
}
