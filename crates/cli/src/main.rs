//! The `chestnutfork` command: every role and tool in one binary.

mod cli;
mod help;
mod roles;
mod tools;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let single = matches.subcommand_name().is_some_and(roles::is_single_threaded);
    let mut builder = if single {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}; check the limits on threads and open files");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(cli::run(&matches))
}
