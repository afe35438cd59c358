//! Tests how often the feeds of the store are read.

use std::time::Duration;

use sesamerock_gateway::run::read_interval;
use sesamerock_gateway::store::Feed;

/// When gateways are restarted in turn, each announcement ends the read of every gateway.
#[test]
fn reads_of_the_nodes_do_not_grow_with_the_number_of_gateways() {
    let drain = Duration::from_secs(4);
    for gateways in [1, 4, 12, 59, 970] {
        let interval = read_interval(Feed::Nodes, drain, gateways);
        let reads_per_second = gateways as f64 / interval.as_secs_f64();
        assert!(reads_per_second <= 10.0, "{gateways}: {reads_per_second}");
        assert!(interval >= Duration::from_secs(1));
    }
}
