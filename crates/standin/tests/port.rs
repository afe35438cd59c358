//! Tests of the ports that are handed out to the processes of tests.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

use sesamerock_standin::port::Range;

/// Ports that each process of this test takes.
const PORTS: usize = 100;

/// Regression: processes whose ids differ by a multiple of 20 handed out the same ports, so that a
/// gateway that started again found a listener of another test at its address.
#[test]
fn regression_processes_with_like_ids_hand_out_different_ports() -> io::Result<()> {
    let ranges = [7, 27, 47].map(Range::claim);
    let mut all: BTreeSet<SocketAddr> = BTreeSet::new();
    for range in &ranges {
        for _ in 0..PORTS {
            // No listener holds the port, as between the end of a gateway and its start.
            let address = range.free()?;
            assert!(all.insert(address), "{address} was handed out twice");
        }
    }
    Ok(())
}
