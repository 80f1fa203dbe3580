//! Process settings of chestnutfork, read from YAML and checked.
