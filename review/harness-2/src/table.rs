//! The operator's configuration of a small deployment: an order assistant that streams quotes, and look-ups.

/// Capacity and speed of the servers, as on the sheet of the deployment.
pub const ENGINE: &str = r#","engine":{"slots":12,"kvCapacityTokens":280000,"kvTokenBytes":35136,"linkMbps":44000.0,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":97},"sets":3,"experts":96,"places":11,"spare":4,"expertMb":2200.0,"expertShare":0.85,"form_ms":600.0}"#;

/// The same without experts, for servers that form no group.
pub const SINGLE_ENGINE: &str = r#","engine":{"slots":12,"kvCapacityTokens":280000,"kvTokenBytes":35136,"linkMbps":44000.0,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":97}}"#;

/// Returns a version of the configuration. Each version adds a route.
pub fn config(version: u64) -> String {
    with_engine(version, "")
}

/// Returns a version of the configuration with this field about the servers.
pub fn with_engine(version: u64, engine: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"chalk-assist","maxAttempts":{attempts}}}"#
        )
    };
    let quote = r#"{"name":"quote","host":"desk.example","pathPrefix":"/quote/","kind":"streaming","resumable":true,"timeoutMs":8000,"targetLatencyMs":500,"targetGapMs":120,"priority":1,"service":"chalk-assist","maxAttempts":2}"#;
    let mut routes = vec![quote.to_owned(), route("stock", "safe", 2)];
    routes.extend((1..=version).map(|it| route(&format!("v{it}"), "safe", 2)));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"chalk-assist","healthPath":"/health","maxConns":418,"coldStartS":0,"coldPerS":0{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"school","apiKeys":["key-1"]}}]}}"#,
        routes.join(",")
    )
}
