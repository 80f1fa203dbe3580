//! Prints the content of `docs/SETTINGS.md`.

fn main() {
    print!("{}", chestnutfork_settings::reference_page());
}
