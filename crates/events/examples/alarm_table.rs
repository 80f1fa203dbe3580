//! Prints the table of alarms that `docs/OPERATIONS.md` contains.

fn main() {
    print!("{}", chestnutfork_events::alarm_table());
}
