//! A plain service as a process of its own.

use std::io::Write;

use eyre::Result;
use lexopt::prelude::{Long, Short, ValueExt};
use masticsill_testkit::{FakeService, ServiceSettings};

const HELP: &str = "\
Usage: fake_service [OPTIONS]
  --listen ADDRESS    default 127.0.0.1:0; prints `listening on ADDRESS`
  --delay-ms N        time between a run and its answer, default 0";

fn main() -> Result<()> {
    let Some(settings) = parse_settings(lexopt::Parser::from_env())? else {
        println!("{HELP}");
        return Ok(());
    };
    let service = FakeService::start(settings)?;
    println!("listening on {}", service.address());
    println!("ready");
    std::io::stdout().flush()?;
    service.wait();
    Ok(())
}

fn parse_settings(mut parser: lexopt::Parser) -> Result<Option<ServiceSettings>> {
    let mut settings = ServiceSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => settings.listen = parser.value()?.parse()?,
            Long("delay-ms") => settings.delay_ms = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(settings))
}
