//! Document schemas: key declarations, validation, defaults and reference tables.
//!
//! Each key is declared once with its path, kind, range, default and description. The configuration document and the
//! process settings both use this crate, so their errors and reference pages have the same form. A path joins names with
//! dots; `*` stands for the user-defined names of a table.
//!
//! # Examples
//!
//! ```
//! use chestnutfork_schema::{Key, Kind, Presence, check};
//! use serde_json::json;
//!
//! const KEYS: &[Key] = &[Key {
//!     path: "port",
//!     kind: Kind::Integer { min: 1, max: 65_535, unit: "" },
//!     presence: Presence::Required,
//!     description: "Port to listen on.",
//! }];
//! let violations = check(KEYS, &json!({ "port": 0, "prot": 1 }));
//! assert_eq!(violations.len(), 2);
//! ```

mod check;
mod defaults;
mod flatten;
mod key;
mod reference;

pub use check::check;
pub use defaults::with_defaults;
pub use flatten::{REDACTED, flatten, redact};
pub use key::{Key, Kind, NAME_MAX_LENGTH, Presence, Violation, ViolationKind, is_name, key_at};
pub use reference::reference_table;
