//! The command line: every flag and command is defined here.

mod command;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, Parser, construct, long, positional};
use log::LevelFilter;

/// Width of help and error texts, in columns.
const HELP_COLUMNS: usize = 100;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Least severe level of log lines.
    pub log_level: LevelFilter,
    /// Command to run.
    pub command: Command,
}

/// Commands of the program.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a complete system on loopback with stand-ins.
    Dev,
    /// Run an entry.
    Entry {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run an agent.
    Agent {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run a gateway.
    Gateway {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run a sidecar.
    Sidecar {
        /// Settings file.
        settings: PathBuf,
    },
    /// Print the timeline of a request or an upstream from logs.
    Explain {
        /// Identity of the request or the upstream.
        identity: String,
        /// Log files of any number of processes.
        logs: Vec<PathBuf>,
    },
    /// Check a settings file or a release note.
    Check {
        /// File to check.
        file: PathBuf,
    },
    /// Print the reference of all settings.
    Reference,
    /// Publish a release note.
    Publish {
        /// Operator address of an entry.
        operator: SocketAddr,
        /// File with the note.
        file: PathBuf,
        /// Whether to wait until the note is in effect on every VM.
        wait: bool,
    },
    /// Show the control state that the accepted notes have produced.
    Show {
        /// Operator address of an entry.
        operator: SocketAddr,
    },
    /// Take a zone out of service or bring it back.
    Zone {
        /// Operator address of an entry.
        operator: SocketAddr,
        /// Whether to take it out of service or bring it back.
        service: Service,
        /// Zone name.
        name: String,
    },
    /// Take a VM out of service or bring it back.
    Vm {
        /// Operator address of an entry.
        operator: SocketAddr,
        /// Whether to take it out of service or bring it back.
        service: Service,
        /// VM name.
        name: String,
    },
    /// Show the state of the system.
    Status {
        /// Operator address of an entry.
        operator: SocketAddr,
        /// Whether to print JSON.
        json: bool,
    },
}

/// Target state of a zone or VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Out of service.
    Out,
    /// In service.
    In,
}

impl Service {
    /// Returns the word used on the command line and in paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }
}

fn settings() -> impl Parser<PathBuf> {
    long("settings")
        .help("Settings file in YAML")
        .argument("FILE")
}

/// Returns the parser of the settings file of a role that may also get the path
/// from the environment of its deployment.
fn deployed_settings() -> impl Parser<PathBuf> {
    long("settings")
        .help("Settings file in YAML")
        .env("SESAMEROCK_SETTINGS")
        .argument("FILE")
}

fn operator() -> impl Parser<SocketAddr> {
    long("operator")
        .help("Operator address of any entry")
        .env("SESAMEROCK_OPERATOR")
        .argument("ADDR")
}

fn service() -> impl Parser<Service> {
    positional::<String>("out|in")
        .help("Direction")
        .parse(|word| match word.as_str() {
            "out" => Ok(Service::Out),
            "in" => Ok(Service::In),
            _ => Err(format!("expected out or in, found {word}")),
        })
}

fn note() -> impl Parser<Command> {
    let publish = {
        let operator = operator();
        let wait = long("wait")
            .help("Return once the note is in effect on every VM")
            .switch();
        let file = positional("FILE").help("Release note in YAML");
        construct!(Command::Publish {
            operator,
            wait,
            file
        })
        .to_options()
        .descr("Publish a release note; publishing the same id again is idempotent")
        .footer("Example: sesamerock note publish --operator 127.0.0.1:9001 --wait note.yaml")
        .command("publish")
    };
    let show = {
        let operator = operator();
        construct!(Command::Show { operator })
            .to_options()
            .descr("Show the state that the accepted notes have put into effect")
            .command("show")
    };
    construct!([publish, show])
        .to_options()
        .descr("Publish and show release notes")
        .command("note")
}

/// Returns the parser of the roles that a deployment starts.
fn deployed() -> impl Parser<Command> {
    let sidecar = {
        let settings = deployed_settings();
        construct!(Command::Sidecar { settings })
            .to_options()
            .descr("Run a sidecar, which connects the gateways to the engine on its VM")
            .footer("Example: sesamerock sidecar --settings sidecar.yaml")
            .command("sidecar")
    };
    let gateway = {
        let settings = deployed_settings();
        construct!(Command::Gateway { settings })
            .to_options()
            .descr("Run a gateway, which forwards calls directly to the upstreams")
            .footer("Example: sesamerock gateway --settings gateway.yaml")
            .command("gateway")
    };
    construct!([gateway, sidecar])
}

fn explain() -> impl Parser<Command> {
    let identity = positional("ID").help("Identity of a request or an upstream");
    let logs = positional("LOG")
        .help("Log of a process")
        .some("at least one log is needed");
    construct!(Command::Explain { identity, logs })
        .to_options()
        .descr("Print the timeline of a request or an upstream from the logs of processes")
        .footer("Example: sesamerock explain 9c41d07be2a35f68 front-1.log front-2.log")
        .command("explain")
}

/// Returns the parser of the whole command line.
pub fn options() -> OptionParser<Options> {
    let log_level = long("log-level")
        .help("Least severe level of log lines: off, error, warn, info, debug or trace")
        .argument("LEVEL")
        .fallback(LevelFilter::Info)
        .display_fallback();
    let dev = bpaf::pure(Command::Dev)
        .to_options()
        .descr(
            "Run a complete system on loopback with stand-ins for the platform and the upstreams",
        )
        .command("dev");
    let entry = {
        let settings = settings();
        construct!(Command::Entry { settings })
            .to_options()
            .descr("Run an entry, which serves callers and operators")
            .footer("Example: sesamerock entry --settings entry.yaml")
            .command("entry")
    };
    let agent = {
        let settings = settings();
        construct!(Command::Agent { settings })
            .to_options()
            .descr("Run an agent, which forwards calls to one upstream")
            .footer("Example: sesamerock agent --settings agent.yaml")
            .command("agent")
    };
    let check = {
        let file = positional("FILE").help("Settings file or release note");
        let file = construct!(Command::Check { file });
        let reference = long("reference")
            .help("Print the reference of all settings instead")
            .req_flag(Command::Reference);
        construct!([reference, file])
            .to_options()
            .descr("Report every fault of a settings file or release note; exits with 2 if any")
            .footer("Example: sesamerock check docs/examples/note.yaml")
            .command("check")
    };
    let zone = {
        let operator = operator();
        let service = service();
        let name = positional("ZONE").help("Availability zone");
        construct!(Command::Zone {
            operator,
            service,
            name
        })
        .to_options()
        .descr("Take an availability zone out of service or bring it back")
        .footer("Example: sesamerock zone --operator 127.0.0.1:9001 out b")
        .command("zone")
    };
    let vm = {
        let operator = operator();
        let service = service();
        let name = positional("VM").help("VM");
        construct!(Command::Vm {
            operator,
            service,
            name
        })
        .to_options()
        .descr("Take a VM out of service or bring it back")
        .command("vm")
    };
    let status = {
        let operator = operator();
        let json = long("json").help("Print JSON").switch();
        construct!(Command::Status { operator, json })
            .to_options()
            .descr("Show version, contact, zones, VMs and upstreams")
            .command("status")
    };
    let note = note();
    let deployed = deployed();
    let explain = explain();
    let command = construct!([
        dev, entry, agent, deployed, explain, check, note, zone, vm, status
    ]);
    construct!(Options { log_level, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A load balancer for expert-parallel model groups")
        .footer("Try it: sesamerock dev")
}

/// Reads the command line, runs the command and returns the exit code: 0 for
/// success, 1 for a failure, 2 for wrong use or a faulty file, 3 for an unknown
/// outcome.
pub fn run() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(options) => command::run(options),
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            // bpaf exits with 1 on wrong use, which here stands for a failure.
            match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(command::EXIT_INVALID),
            }
        }
    }
}
