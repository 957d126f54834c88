//! Command lines of the experiments.

use lexopt::prelude::{Long, ValueExt};

/// Seeds to play: those of `--seeds`, or `usual` many.
///
/// # Errors
///
/// An argument is unknown, or no number.
pub fn read_seeds(usual: u64) -> eyre::Result<u64> {
    let mut seeds = usual;
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("seeds") => seeds = arguments.value()?.parse()?,
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(seeds)
}
