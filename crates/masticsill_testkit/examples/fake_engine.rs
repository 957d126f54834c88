//! A deterministic model engine as a process of its own.

use std::io::Write;

use eyre::Result;
use lexopt::prelude::{Long, Short, ValueExt};
use masticsill_testkit::{EngineSettings, FakeEngine, model_target};
use masticsill_types::AdapterId;

const HELP: &str = "\
Usage: fake_engine [OPTIONS]
  --listen ADDRESS            default 127.0.0.1:0; prints `listening on ADDRESS`
  --slots N                   requests decoded at the same time, default 16
  --step-ms N                 time of one step, default 20
  --model NAME                default draft
  --version NAME              default v1
  --adapter NAME              loads the model with this adapter too; repeatable
  --checks-fencing            refuse orders with an old fencing number
  --prefill-us-per-token N    default 0
  --cache-tokens N            size of the prefix cache, default 65536
  --cache-event-lag-ms N      default 0
  --cache-event-gap-every N   lose each N-th cache event, default 0 (none)
  --load-lag-ms N             default 0";

fn main() -> Result<()> {
    let Some(settings) = parse_settings(lexopt::Parser::from_env())? else {
        println!("{HELP}");
        return Ok(());
    };
    let engine = FakeEngine::start(settings)?;
    println!("listening on {}", engine.address());
    println!("ready");
    std::io::stdout().flush()?;
    engine.wait();
    Ok(())
}

fn parse_settings(mut parser: lexopt::Parser) -> Result<Option<EngineSettings>> {
    let mut settings = EngineSettings::default();
    let mut model = String::from("draft");
    let mut version = String::from("v1");
    let mut adapters = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => settings.listen = parser.value()?.parse()?,
            Long("slots") => settings.slots = parser.value()?.parse()?,
            Long("step-ms") => settings.step_ms = parser.value()?.parse()?,
            Long("model") => model = parser.value()?.string()?,
            Long("version") => version = parser.value()?.string()?,
            Long("adapter") => adapters.push(parser.value()?.parse::<AdapterId>()?),
            Long("checks-fencing") => settings.is_checking_fencing = true,
            Long("prefill-us-per-token") => {
                settings.prefill_us_per_token = parser.value()?.parse()?;
            }
            Long("cache-tokens") => settings.cache_tokens = parser.value()?.parse()?,
            Long("cache-event-lag-ms") => settings.cache_event_lag_ms = parser.value()?.parse()?,
            Long("cache-event-gap-every") => {
                settings.cache_event_gap_every = parser.value()?.parse()?;
            }
            Long("load-lag-ms") => settings.load_lag_ms = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    let base = model_target(&model, &version);
    settings.loaded = vec![base.clone()];
    for adapter in adapters {
        let mut target = base.clone();
        target.adapter = Some(adapter);
        settings.loaded.push(target);
    }
    Ok(Some(settings))
}
