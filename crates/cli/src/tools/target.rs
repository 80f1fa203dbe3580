//! Subcommand `target`: a simulated target.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chestnutfork_settings::TargetSettings;
use chestnutfork_standin::{Behaviour, BehaviourChange, Target, TargetBuilder};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::ToolError;
use super::arguments::{address, listen, listen_address, required, text};

/// Text after the arguments in the help.
const AFTER_HELP: &str = "\
The target runs tasks whose payload is JSON such as
  {\"run_ms\": 120, \"fail\": false, \"echo\": \"text\"}
and serves
  POST /task                   run a task (headers x-chestnutfork-job, -task, -credit)
  DELETE /task/{job}/{task}    stop a task; answers once it has ended
  GET /health                  answers unless the target is silent
  GET /journal                 every start and end as JSON
  POST /behaviour              change the behaviour, for example
                               {\"mode\": \"black_hole\"} or {\"speed\": 0.2}
Modes: normal, black_hole, hang, silent, flapping. On an interrupt the target
announces that it leaves, finishes its tasks and stops.";

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    Command::new("target")
        .about("Runs a simulated target that announces itself to an agent")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .exclusive(true)
                .help("Settings file in place of the options below; see examples/target.yaml"),
        )
        .arg(
            text("name", "NAME")
                .default_value("target-1")
                .help("Name of the target"),
        )
        .arg(
            text("pool", "NAME")
                .default_value("main")
                .help("Pool that the target belongs to"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("COUNT")
                .value_parser(value_parser!(u32).range(1..=4_096))
                .default_value("8")
                .help("Number of tasks that run at once"),
        )
        .arg(number("speed", "1", "Divisor of run times; 2 is twice as fast"))
        .arg(number(
            "jitter",
            "0",
            "Largest fraction by which a run time is lengthened",
        ))
        .arg(listen())
        .arg(address("agent").help("Agent to announce to; without one the target announces nothing"))
        .arg(
            text("token", "TOKEN")
                .default_value("")
                .help("Bearer token of targets at the agent"),
        )
        .after_help(AFTER_HELP)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(f64))
        .default_value(default)
        .help(help)
}

/// Runs the target until a shutdown signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, ToolError> {
    let builder = match matches.get_one::<PathBuf>("config") {
        Some(file) => from_file(file),
        None => from_options(matches),
    };
    let builder = match builder {
        Ok(builder) => builder,
        Err(problem) => {
            eprintln!("chestnutfork target: {problem}");
            return Ok(ExitCode::from(2));
        }
    };
    let target = builder.start().await?;
    println!("target {} listens on http://{}", target.name(), target.address());
    super::wait_for_shutdown_signal().await;
    let journal = target.shutdown().await?;
    println!("stopped after {} dispatches", journal.entries.len());
    Ok(ExitCode::SUCCESS)
}

/// Configures the target from a settings file.
fn from_file(file: &Path) -> Result<TargetBuilder, String> {
    let settings = TargetSettings::load(file).map_err(|error| error.to_string())?;
    Ok(Target::builder(settings.process.name)
        .pool(settings.pool)
        .slots(settings.slots)
        .speed(settings.speed)
        .token(settings.target_token.expose())
        .listen(settings.listen)
        .agent(settings.agent)
        .grace(settings.process.shutdown_grace))
}

/// Configures the target from command-line options.
fn from_options(matches: &ArgMatches) -> Result<TargetBuilder, String> {
    let behaviour = Behaviour {
        speed: required(matches, "speed"),
        jitter: required(matches, "jitter"),
        ..Behaviour::default()
    };
    let change = BehaviourChange {
        speed: Some(behaviour.speed),
        jitter: Some(behaviour.jitter),
        ..BehaviourChange::default()
    };
    change.check().map_err(|problem| format!("--{problem}"))?;
    let builder = Target::builder(required::<String>(matches, "name"))
        .pool(required::<String>(matches, "pool"))
        .slots(required(matches, "slots"))
        .behaviour(behaviour)
        .token(required::<String>(matches, "token"))
        .listen(listen_address(matches));
    Ok(match matches.get_one::<SocketAddr>("agent") {
        Some(&agent) => builder.agent(agent),
        None => builder,
    })
}
