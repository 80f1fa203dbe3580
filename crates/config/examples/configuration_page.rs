//! Prints the text of `docs/CONFIGURATION.md`.

fn main() {
    print!("{}", chestnutfork_config::reference_page());
}
