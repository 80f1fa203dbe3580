//! Numbered log events of chestnutfork.
