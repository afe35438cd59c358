//! Command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser as _, construct, long};
use eyre::WrapErr as _;

/// Command-line options.
#[derive(Clone, Debug)]
struct Options {
    seed: u64,
    count: u64,
    seconds: u64,
    logs: PathBuf,
    drill: bool,
}

fn options() -> Options {
    let seed = long("seed").help("First seed").argument("N").fallback(1);
    let count = long("count")
        .help("Number of seeds, run one after the other")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("Duration of fault injection in each run, in seconds")
        .argument("S")
        .fallback(12);
    let logs = long("logs")
        .help("Folder for the logs of the gateways")
        .argument("DIR")
        .fallback(PathBuf::from("target/soak"));
    let drill = long("drill")
        .help("Restore the store from copies, beside faults of gateways")
        .switch();
    construct!(Options {
        seed,
        count,
        seconds,
        logs,
        drill
    })
    .to_options()
    .descr("Runs gateways under random faults and checks what callers and upstreams see.")
    .run()
}

fn main() -> eyre::Result<ExitCode> {
    let options = options();
    let executable = std::env::current_exe().wrap_err("cannot find the path of this program")?;
    let program = executable.with_file_name("sesamerock");
    eyre::ensure!(
        program.exists(),
        "{} is missing; build it first with cargo build --release",
        program.display()
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut failed = 0;
    for seed in options.seed..options.seed + options.count {
        let logs = options.logs.join(seed.to_string());
        let fault_time = Duration::from_secs(options.seconds);
        let run = async {
            if options.drill {
                sesamerock_soak::run_drill(seed, fault_time, &program, &logs).await
            } else {
                sesamerock_soak::run_seed(seed, fault_time, &program, &logs).await
            }
        };
        let outcome = match runtime.block_on(run) {
            Ok(outcome) => outcome,
            Err(error) => {
                failed += 1;
                println!("seed={seed} did not run to its end: {error:#}");
                continue;
            }
        };
        println!(
            "seed={seed} calls={} served={} faults={} violations={} notes={}",
            outcome.calls,
            outcome.served,
            outcome.faults.len(),
            outcome.violations.len(),
            outcome.notes.len(),
        );
        for note in &outcome.notes {
            println!("  note {note}");
        }
        if !outcome.violations.is_empty() {
            failed += 1;
            for fault in &outcome.faults {
                println!("  fault {fault}");
            }
            for violation in &outcome.violations {
                println!("  broken {violation}");
            }
            println!("  logs {}", logs.display());
        }
    }
    println!("{} passed, {failed} failed", options.count - failed);
    Ok(ExitCode::from(u8::from(failed > 0)))
}
