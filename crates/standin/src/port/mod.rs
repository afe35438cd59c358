//! Allocation of loopback ports for processes that bind them later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is handed out. All ports handed out lie below the ephemeral range:
/// an outgoing connection could otherwise take a port before its process binds it, and
/// the process (an agent, when it happened) fails to start.
const LOWEST_PORT: u16 = 10_000;
/// Ports of one range. The first one shows that the range is taken.
const PORTS_PER_RANGE: u16 = 1_000;
/// Number of disjoint ranges.
const RANGES: u32 = 20;

static OWN: OnceLock<Range> = OnceLock::new();

/// Returns an address on loopback that has no listener, a new one for each call.
///
/// # Errors
/// Returns the error of the last port tried, if all are taken.
pub fn free() -> io::Result<SocketAddr> {
    OWN.get_or_init(|| Range::claim(std::process::id())).free()
}

/// Ports that one process hands out. No other process hands them out meanwhile, also not those
/// whose listener has ended and is to be started again.
#[derive(Debug)]
pub struct Range {
    first: u16,
    next: AtomicU16,
    /// Listener on the first port; `None` if all ranges are taken and this one is shared.
    _claim: Option<TcpListener>,
}

impl Range {
    /// Claims a range that no other process has claimed, as long as the result lives. Looks from
    /// the range of a process id on.
    pub fn claim(process: u32) -> Self {
        let first_of = |id: u32| LOWEST_PORT + (id % RANGES) as u16 * PORTS_PER_RANGE;
        let mut claims = (0..RANGES).filter_map(|more| {
            let first = first_of(process % RANGES + more);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some((first, Some(listener)))
        });
        let (first, claim) = claims.next().unwrap_or((first_of(process), None));
        Self {
            first,
            next: AtomicU16::new(0),
            _claim: claim,
        }
    }

    /// Returns an address of this range that has no listener, a new one for each call.
    ///
    /// # Errors
    /// Returns the error of the last port tried, if all are taken.
    pub fn free(&self) -> io::Result<SocketAddr> {
        let mut last = None;
        for _ in 1..PORTS_PER_RANGE {
            let number = self.next.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_RANGE - 1);
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.first + 1 + number));
            match TcpListener::bind(address) {
                Ok(_) => return Ok(address),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| io::ErrorKind::AddrNotAvailable.into()))
    }
}
