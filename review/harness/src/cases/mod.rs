//! The cases.

pub mod cold;
pub mod loads;
pub mod map;
pub mod stop;
pub mod tokens;

/// A route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
}

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Returns a configuration without tenants. A route has the path prefix of its name. Services are
/// a name with the requests a second that its servers tolerate while cold.
pub fn config(version: u64, routes: &[Route], services: &[(&str, f64)], max_body: usize) -> String {
    let routes = routes.iter().map(|route| {
        let Route { name, kind, service, timeout_ms, target_ms, attempts } = route;
        let gap = if *kind == "streaming" { ",\"targetGapMs\":200" } else { "" };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":false{gap}}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = services.iter().map(|(name, cold_per_s)| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":400,\"protocol\":\"h1\",\
             \"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{cold_per_s:.1}}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":{max_body},\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
