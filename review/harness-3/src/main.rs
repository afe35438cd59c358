//! Cases of the third review: `case NAME FOLDER [TROUBLE]` plays one and writes its record.

mod early;
mod http;
mod killed;
mod partial;
mod retained;
mod server;
mod store;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fs, process};

use system::Record;

/// What a case was given.
#[derive(Debug)]
pub struct Setting {
    /// Temporary folder.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    if words.get(1).is_some_and(|word| word == "serve") {
        return match killed::serve(&words[2..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let (Some(name), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("case NAME FOLDER");
        return ExitCode::from(2);
    };
    let temporary = env::temp_dir().join(format!("review-3-{name}-{}", process::id()));
    let played = fs::create_dir_all(&temporary)
        .and_then(|()| Record::create(&PathBuf::from(folder).join("record.txt")))
        .and_then(|record| {
            let setting = Setting {
                folder: temporary.clone(),
                record,
                trouble: env::var("TROUBLE").as_deref() != Ok("0"),
            };
            match name.as_str() {
                "early" => early::play(&setting),
                "killed" => killed::play(&setting),
                "partial" => partial::play(&setting),
                "retained" => retained::play(&setting),
                _ => Err(std::io::Error::other("unknown case")),
            }
        });
    if env::var("KEEP").is_err() {
        // Left to the system if it cannot be removed.
        let _ = fs::remove_dir_all(&temporary);
    } else {
        eprintln!("{}", temporary.display());
    }
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
