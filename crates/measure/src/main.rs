//! Measurements of the sesamerock parts.
//!
//! `sesamerock-measure NAME [--seed N]` prints key=value lines, the baselines
//! beside the measured part, then one `target` line per bound. It exits with 1
//! if one falls short. Bounds come from `docs/design.md`, section 11.

mod alloc;
mod balance;
mod clock;
mod fairness;
mod hedge;
mod limits;
mod lockstep;
mod node;
mod orders;
mod overhead;
mod plan;
mod poison;
mod prefix;
mod ranks;
mod recover;
mod report;
mod rollout;
mod runtime;
mod scale;
mod skew;
mod spread;
mod state;
mod stream;
mod traffic;
mod usage;
mod zone;

use bpaf::{Parser, construct, long, positional};

use report::Report;

/// Command line of the program.
#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    name: String,
}

/// A measure: its name and the function that runs it.
type Measure = (&'static str, fn(u64, &mut Report));

/// All measures, in alphabetical order.
const MEASURES: &[Measure] = &[
    ("balance", balance::run),
    ("fairness", fairness::run),
    ("hedge", hedge::run),
    ("limits", limits::run),
    ("lockstep", lockstep::run),
    ("node", node::run),
    ("orders", orders::run),
    ("overhead", overhead::run),
    ("plan", plan::run),
    ("poison", poison::run),
    ("prefix", prefix::run),
    ("ranks", ranks::run),
    ("recover", recover::run),
    ("rollout", rollout::run),
    ("skew", skew::run),
    ("spread", spread::run),
    ("state", state::run),
    ("stream", stream::run),
    ("zone", zone::run),
];

#[global_allocator]
static ALLOCATOR: alloc::Counting = alloc::Counting;

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of all generators")
        .argument("N")
        .fallback(1);
    let name = positional("NAME").help("Name of the measure");
    construct!(Options { seed, name })
        .to_options()
        .descr("Measures parts of sesamerock against baselines of the same run")
}

fn main() -> std::process::ExitCode {
    let options = options().run();
    let Some((name, run)) = MEASURES.iter().find(|(name, _)| *name == options.name) else {
        let names: Vec<_> = MEASURES.iter().map(|(name, _)| *name).collect();
        eprintln!(
            "unknown measure {}, expected one of {}",
            options.name,
            names.join(", ")
        );
        return std::process::ExitCode::from(2);
    };
    let mut report = Report::new(name);
    run(options.seed, &mut report);
    std::process::ExitCode::from(u8::from(!report.met()))
}
