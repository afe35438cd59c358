//! `sesamerock dev`: a complete system on loopback, with stand-ins for the
//! platform, the engines and the services.

mod cluster;

use std::io::Write as _;

use eyre::WrapErr as _;
use tokio_util::sync::CancellationToken;

pub use cluster::{Cluster, MODEL, SERVICE, Settings};

/// Runs the system until `stop` is cancelled.
///
/// # Errors
/// Fails if a role or stand-in cannot be started, or if the system does not
/// become ready in time.
pub async fn run(stop: CancellationToken) -> eyre::Result<()> {
    let cluster = Cluster::start(Settings::default(), &stop).await?;
    cluster.publish().await?;
    cluster.wait_ready().await?;
    let mut out = std::io::stdout();
    write!(out, "{}", usage(&cluster)).wrap_err("cannot write to standard output")?;
    out.flush().wrap_err("cannot write to standard output")?;
    stop.cancelled().await;
    cluster.join().await;
    Ok(())
}

/// Returns example commands for the user, and the `ready` line from which programs
/// read the addresses.
fn usage(cluster: &Cluster) -> String {
    let entry = cluster.callers[0];
    let operator = cluster.operators[0];
    let entries: Vec<_> = cluster.callers.iter().map(ToString::to_string).collect();
    let entries = entries.join(",");
    let chat = format!("curl -sN http://{entry}/v1/chat/completions -H 'x-workspace: school'");
    format!(
        r#"# a chat completion
{chat} -d '{{"model":"chalk-7b","max_tokens":8,"messages":[{{"role":"user","content":"hello"}}]}}'
# a streamed one
{chat} -d '{{"model":"chalk-7b","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"hello"}}]}}'
# an order that is placed at most once
curl -s http://{entry}/services/orders/orders -H 'x-workspace: school' -H 'idempotency-key: order-1' -d '{{"chalk":12}}'
# a stock look-up
curl -s http://{entry}/services/orders/stock/chalk
# the entries to use
curl -s http://{entry}/v1/entries
# the status, for operators
curl -s http://{operator}/operator/status
# a zone out of service, and in again
curl -s -X POST http://{operator}/operator/zones/b/out
curl -s -X POST http://{operator}/operator/zones/b/in
ready entry={entries} platform={}
"#,
        cluster.platform.address()
    )
}
