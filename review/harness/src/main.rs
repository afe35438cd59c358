//! Runs one case of the review: `review-harness CASE`, in the root of the repository. Writes the
//! record to the folder of the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod group;
mod http;
mod random;
mod record;
mod server;
mod store;
mod system;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::args().nth(2).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = std::sync::Arc::new(record::Record::create(&format!("{folder}/record.txt")));
    record.say(format_args!("case {name} trouble={trouble}"));
    let verdict = match name.as_str() {
        "loads" => cases::loads::run(&record, trouble),
        "stop" => cases::stop::run(&record, trouble),
        "map" => cases::map::run(&record, trouble),
        "tokens" => cases::tokens::run(&record, trouble),
        "cold" => cases::cold::run(&record, trouble),
        _ => Verdict::NotRun(format!("no case {name:?}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("verdict: held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("verdict: broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.say(format_args!("verdict: not run, {reason}"));
            ExitCode::from(2)
        }
    }
}
