//! Top-level help that lists subcommands in groups.

use std::fmt::Write;

use clap::Command;

/// Width of the column of subcommand names.
const NAME_WIDTH: usize = 12;

/// Subcommands listed under one heading.
#[derive(Clone, Debug)]
pub(crate) struct CommandGroup {
    pub(crate) heading: &'static str,
    /// Subcommands in the order in which the help lists them.
    pub(crate) commands: Vec<Command>,
}

/// Adds grouped subcommands to a command and lists them in its help.
pub(crate) fn add_groups(command: Command, groups: Vec<CommandGroup>) -> Command {
    let mut template = String::from("{about}\n\n{usage-heading} {usage}\n");
    for group in &groups {
        // Writing to a string cannot fail.
        let _ = write!(template, "\n{}:\n", group.heading);
        for command in &group.commands {
            let about = command.get_about().map(ToString::to_string);
            let _ = writeln!(
                template,
                "  {:NAME_WIDTH$} {}",
                command.get_name(),
                about.unwrap_or_default()
            );
        }
    }
    template.push_str("\nOptions:\n{options}{after-help}");
    let subcommands = groups.into_iter().flat_map(|group| group.commands);
    command.subcommands(subcommands).help_template(template)
}
