//! Runs the commands of the command line and maps their outcomes to exit codes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr as _, eyre};
use http::Request;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use sesamerock_client::error::Error;
use sesamerock_client::http::body;
use sesamerock_client::http::client::Client;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::{Command, Options};
use crate::entry::operator::{Published, Status, Verdict};
use crate::explain::{Line, timeline};
use crate::{agent, dev, entry, settings, telemetry};

/// Exit code for a failure.
const EXIT_FAILURE: u8 = 1;
/// Exit code for wrong use or a faulty file.
pub(super) const EXIT_INVALID: u8 = 2;
/// Exit code for an unknown outcome.
const EXIT_UNKNOWN: u8 = 3;
/// Largest response that is read from an entry.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of an operator's command, which may wait until a note is in effect on
/// every VM.
const COMMAND_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs the command and returns the exit code of the program.
pub(super) fn run(options: Options) -> ExitCode {
    match &options.command {
        Command::Gateway { settings } => {
            return exit_code(start_gateway(settings, options.log_level));
        }
        Command::Sidecar { settings } => {
            return exit_code(start_sidecar(settings, options.log_level));
        }
        Command::Explain { identity, logs } => return exit_code(explain(identity, logs)),
        _ => {}
    }
    let started = telemetry::start_log(options.log_level);
    let outcome = started.and_then(|()| match options.command {
        Command::Dev => serve(0, dev::run),
        Command::Entry { settings } => start_entry(&settings),
        Command::Agent { settings } => start_agent(&settings),
        Command::Check { file } => check(&file),
        Command::Reference => {
            print!("{}", settings::check::reference());
            Ok(0)
        }
        command => run_operator_command(command),
    });
    exit_code(outcome)
}

fn exit_code(outcome: eyre::Result<u8>) -> ExitCode {
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("sesamerock: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn start_entry(file: &Path) -> eyre::Result<u8> {
    let Some(settings) = load::<settings::Entry>(file, settings::check::entry_faults)? else {
        return Ok(EXIT_INVALID);
    };
    serve(settings.node.threads, |stop| async move {
        entry::run(settings, stop).await
    })
}

fn start_agent(file: &Path) -> eyre::Result<u8> {
    let Some(settings) = load::<settings::Agent>(file, settings::check::agent_faults)? else {
        return Ok(EXIT_INVALID);
    };
    serve(settings.node.threads, |stop| async move {
        agent::run(settings, stop).await
    })
}

/// Runs a gateway.
fn start_gateway(file: &Path, level: log::LevelFilter) -> eyre::Result<u8> {
    use sesamerock_adapter::{engine::Engines, http, names::Platform, store::Store};
    use sesamerock_gateway::run::{Settings, run};
    use sesamerock_gateway::sidecar::SidecarEngines;

    let settings: Settings = load_deployed(file, level)?;
    on_one_thread(async move {
        let client = http::Client::default();
        let store = Store::new(settings.store, client.clone());
        let engines = SidecarEngines::new(Engines::new(client), settings.exchange.port());
        run(settings, store, engines, Platform).await
    })
}

/// Runs a sidecar.
fn start_sidecar(file: &Path, level: log::LevelFilter) -> eyre::Result<u8> {
    use sesamerock_adapter::{engine::Engines, http};
    use sesamerock_gateway::sidecar::{Settings, run};

    let settings: Settings = load_deployed(file, level)?;
    on_one_thread(run(settings, Engines::new(http::Client::default())))
}

/// Starts the log of a deployed role and reads its settings.
fn load_deployed<T: DeserializeOwned>(file: &Path, level: log::LevelFilter) -> eyre::Result<T> {
    telemetry::start_stdout_log(level)?;
    serde_yaml_ng::from_str(&read(file)?)
        .wrap_err_with(|| format!("{} is not a settings file", file.display()))
}

/// Runs a deployed role. Its requests and its control state share one thread, since
/// the VMs have less than one core (`docs/notes/platform.md`).
fn on_one_thread(role: impl Future<Output = eyre::Result<()>>) -> eyre::Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the traffic thread")?;
    runtime.block_on(role)?;
    Ok(0)
}

/// Reads a settings file. If it has faults, prints all of them and returns `None`.
fn load<T: DeserializeOwned>(
    file: &Path,
    check: impl FnOnce(&str) -> Vec<String>,
) -> eyre::Result<Option<T>> {
    let text = read(file)?;
    let faults = check(&text);
    if !faults.is_empty() {
        report(file, &faults);
        return Ok(None);
    }
    serde_yaml_ng::from_str(&text)
        .map(Some)
        .wrap_err_with(|| format!("{} is not a settings file", file.display()))
}

fn read(file: &Path) -> eyre::Result<String> {
    fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

fn explain(identity: &str, logs: &[std::path::PathBuf]) -> eyre::Result<u8> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for log in logs {
        let bytes = fs::read(log).wrap_err_with(|| format!("cannot read {}", log.display()))?;
        let name = log.file_stem().unwrap_or_default().to_string_lossy();
        for text in String::from_utf8_lossy(&bytes).lines() {
            match Line::parse(&name, text) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    print!("{}", timeline(identity, lines, skipped));
    Ok(0)
}

/// Returns the faults of a settings file of a gateway or sidecar, or `None` if the
/// file is of another kind.
fn deployed_faults(text: &str) -> Option<Vec<String>> {
    let keys: serde_yaml_ng::Mapping = serde_yaml_ng::from_str(text).ok()?;
    let fault = if keys.contains_key("readiness") {
        match serde_yaml_ng::from_str::<sesamerock_gateway::run::Settings>(text) {
            Ok(settings) => settings.check().err().map(|fault| fault.to_string()),
            Err(fault) => Some(fault.to_string()),
        }
    } else if keys.contains_key("engine") && keys.contains_key("exchange") {
        let settings = serde_yaml_ng::from_str::<sesamerock_gateway::sidecar::Settings>(text);
        settings.err().map(|fault| fault.to_string())
    } else {
        return None;
    };
    Some(fault.into_iter().collect())
}

fn check(file: &Path) -> eyre::Result<u8> {
    let text = read(file)?;
    let faults = deployed_faults(&text).unwrap_or_else(|| settings::check::faults(&text));
    report(file, &faults);
    if faults.is_empty() {
        println!("{}: ok", file.display());
        return Ok(0);
    }
    Ok(EXIT_INVALID)
}

fn report(file: &Path, faults: &[String]) {
    for fault in faults {
        eprintln!("{}: {fault}", file.display());
    }
}

/// Runs a role on a multi-threaded runtime until SIGTERM or SIGINT.
fn serve<F>(threads: usize, role: impl FnOnce(CancellationToken) -> F) -> eyre::Result<u8>
where
    F: Future<Output = eyre::Result<()>>,
{
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name("traffic");
    if threads > 0 {
        builder.worker_threads(threads);
    }
    let runtime = builder
        .build()
        .wrap_err("cannot start the traffic threads")?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let stopping = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!("event=stopping");
            stopping.cancel();
        });
        role(stop).await
    })?;
    Ok(0)
}

fn run_operator_command(command: Command) -> eyre::Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match command {
            Command::Publish {
                operator,
                file,
                wait,
            } => publish(operator, &file, wait).await,
            Command::Show { operator } => show(operator).await,
            Command::Zone {
                operator,
                service,
                name,
            } => {
                let path = format!("/operator/zones/{name}/{}", service.as_str());
                verdict(&post(operator, &path, Bytes::new()).await?)
            }
            Command::Vm {
                operator,
                service,
                name,
            } => {
                let path = format!("/operator/vms/{name}/{}", service.as_str());
                verdict(&post(operator, &path, Bytes::new()).await?)
            }
            Command::Status { operator, json } => status(operator, json).await,
            Command::Dev
            | Command::Reference
            | Command::Entry { .. }
            | Command::Agent { .. }
            | Command::Gateway { .. }
            | Command::Sidecar { .. }
            | Command::Explain { .. }
            | Command::Check { .. } => Err(eyre!("this command does not contact an entry")),
        }
    })
}

async fn publish(operator: SocketAddr, file: &Path, wait: bool) -> eyre::Result<u8> {
    let text = read(file)?;
    let faults = settings::check::note_faults(&text);
    if !faults.is_empty() {
        report(file, &faults);
        return Ok(EXIT_INVALID);
    }
    if wait {
        eprintln!(
            "waiting until every VM has the note in effect, at most 7 s; models may still be loading after that, see `sesamerock status`"
        );
    }
    let path = if wait {
        "/operator/notes?wait=1"
    } else {
        "/operator/notes"
    };
    verdict(&post(operator, path, Bytes::from(text)).await?)
}

fn verdict(published: &Published) -> eyre::Result<u8> {
    println!("{}", serde_json::to_string(published)?);
    Ok(match published.outcome {
        Verdict::Accepted => 0,
        Verdict::Rejected => EXIT_FAILURE,
        Verdict::Unknown => EXIT_UNKNOWN,
    })
}

async fn show(operator: SocketAddr) -> eyre::Result<u8> {
    let notes: serde_json::Value = get(operator, "/operator/notes").await?;
    println!("{}", serde_yaml_ng::to_string(&notes)?.trim_end());
    Ok(0)
}

async fn status(operator: SocketAddr, json: bool) -> eyre::Result<u8> {
    let status: Status = get(operator, "/operator/status?progress=1").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print!("{status}");
    }
    Ok(0)
}

async fn get<T: DeserializeOwned>(operator: SocketAddr, path: &str) -> eyre::Result<T> {
    let uri = format!("http://{operator}{path}");
    Client::default()
        .get(&uri, Duration::ZERO)
        .await
        .wrap_err_with(|| format!("the entry at {operator} did not answer"))
}

async fn post(operator: SocketAddr, path: &str, content: Bytes) -> eyre::Result<Published> {
    let request = Request::post(format!("http://{operator}{path}")).body(Full::new(content))?;
    let client = Client::default();
    let exchange = async {
        let response = client.send(request).await?;
        let content = body::collect(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|fault| Error::Unknown(format!("{fault:?}")))?;
        serde_json::from_slice(&content).map_err(|error| Error::Malformed(error.to_string()))
    };
    match tokio::time::timeout(COMMAND_TIMEOUT, exchange).await {
        Ok(Ok(published)) => Ok(published),
        Ok(Err(error @ (Error::NotSent(_) | Error::Malformed(_)))) => {
            Err(error).wrap_err_with(|| format!("the entry at {operator} did not answer"))
        }
        Ok(Err(error)) => Ok(Published::unknown(error.to_string())),
        Err(elapsed) => Ok(Published::unknown(elapsed.to_string())),
    }
}
