//! The network links of a node, in which scenarios inject faults.

use sesamerock_standin::proxy::Proxy;

/// Fault proxies on the links of one node.
#[derive(Debug)]
pub struct Links {
    /// From entries to the agent's relay; `None` at an entry.
    pub relay: Option<Proxy>,
    /// From other nodes to this node's peer service.
    pub peers: Proxy,
    /// From the node to the platform.
    pub platform: Proxy,
    /// From the agent to its upstream; `None` at an entry.
    pub upstream: Option<Proxy>,
}

impl Links {
    pub(super) fn names(&self) -> Vec<String> {
        let all = ["relay", "peers", "platform", "upstream"];
        let present = all.into_iter().filter(|name| self.get(name).is_ok());
        present.map(str::to_owned).collect()
    }

    pub(super) fn get(&self, link: &str) -> Result<&Proxy, String> {
        let proxy = match link {
            "relay" => self.relay.as_ref(),
            "peers" => Some(&self.peers),
            "platform" => Some(&self.platform),
            "upstream" => self.upstream.as_ref(),
            _ => None,
        };
        proxy.ok_or_else(|| format!("the node has no link {link}"))
    }
}
