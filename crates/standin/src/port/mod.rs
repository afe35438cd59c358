//! Addresses for processes that bind them later.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is handed out. All of them lie below those that the system gives to
/// outgoing connections, which could take a port before its process binds it. An agent
/// once failed to start for this reason.
const LOWEST: u16 = 10_000;
/// Ports that one process hands out.
const PER_PROCESS: u16 = 1_000;
/// Processes with ports of their own.
const PROCESSES: u32 = 20;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback that nobody listens on, a new one for each call.
/// Processes that run at the same time begin at different ports.
///
/// # Errors
/// Returns the error of the last port tried, if all are taken.
pub fn free() -> std::io::Result<SocketAddr> {
    let first = LOWEST + (std::process::id() % PROCESSES) as u16 * PER_PROCESS;
    let mut last = None;
    for _ in 0..PER_PROCESS {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PER_PROCESS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrNotAvailable.into()))
}
