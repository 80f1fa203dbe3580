//! The `chestnutfork` command.

fn main() {}
