//! Prints the text of `docs/EVENTS.md`.

fn main() {
    print!("{}", chestnutfork_events::catalogue_page());
}
