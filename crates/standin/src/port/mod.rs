//! Addresses for processes that bind them later.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is handed out. All of them lie below those that the system gives to
/// outgoing connections, which could take a port before its process binds it.
const FIRST: u32 = 10_000;
/// Number of ports.
const COUNT: u32 = 22_000;
/// Step between the first ports of two processes whose identities follow each other.
const STRIDE: u32 = 97;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on loopback that nobody listens on, a new one for each call.
///
/// # Errors
/// Returns the error of the last one tried, if all are taken.
pub fn free() -> std::io::Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(STRIDE);
    let mut last = None;
    for _ in 0..COUNT {
        let number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(offset) % COUNT;
        let port = u16::try_from(FIRST + number).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrNotAvailable.into()))
}
