//! Allocation of loopback ports for processes that bind them later.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is handed out. All ports handed out lie below the ephemeral range:
/// an outgoing connection could otherwise take a port before its process binds it, and
/// the process (an agent, when it happened) fails to start.
const LOWEST_PORT: u16 = 10_000;
/// Ports that one process hands out.
const PORTS_PER_PROCESS: u16 = 1_000;
/// Number of disjoint port ranges; process ids are mapped to them modulo this number.
const PORT_RANGES: u32 = 20;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback that has no listener, a new one for each call.
/// Processes that run at the same time begin at different ports.
///
/// # Errors
/// Returns the error of the last port tried, if all are taken.
pub fn free() -> std::io::Result<SocketAddr> {
    let first = LOWEST_PORT + (std::process::id() % PORT_RANGES) as u16 * PORTS_PER_PROCESS;
    let mut last = None;
    for _ in 0..PORTS_PER_PROCESS {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrNotAvailable.into()))
}
