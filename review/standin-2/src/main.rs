//! Drives one case of the second review against real processes on loopback addresses.
//!
//! Usage: `masticsill_review_2 CASE FOLDER`; the repository's root is the working directory. Exit
//! status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod caller;
mod cluster;
mod http;
mod lost_seeds;
mod record;
mod recovery;
mod replaced_core;
mod replica;

use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: masticsill_review_2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match record::Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {case}, disruption: {is_troubled}"));
    let verdict = match case.as_str() {
        "replaced-core" => replaced_core::run(&mut record, is_troubled),
        "lost-seeds" => lost_seeds::run(&mut record, is_troubled),
        "recovery" => recovery::run(&mut record, is_troubled),
        _ => Err(format!("there is no case {case}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            record.note("the rule is broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.note(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
