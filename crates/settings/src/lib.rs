//! Process settings of chestnutfork: YAML parsing and validation.
//!
//! Every setting is declared once with its key path, kind, range, default and description; `docs/SETTINGS.md` is generated
//! from the declarations. Validation reports all problems of a file at once. Builders construct the same settings in code
//! and run the same validation.
//!
//! # Examples
//!
//! ```
//! use chestnutfork_settings::EntrySettings;
//!
//! let settings = EntrySettings::builder("entry-1", "fd-a")
//!     .listen("127.0.0.1:7000".parse()?)
//!     .peer_listen("127.0.0.1:7001".parse()?)
//!     .control(&["127.0.0.1:7101".parse()?])
//!     .cluster_secret("0123456789abcdef")
//!     .build()?;
//! assert_eq!(settings.register.max_records, 1_000_000);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod builder;
mod error;
mod keys;
mod page;
mod process;
mod read;
mod role;
mod roles;
mod secret;

pub use builder::{AgentBuilder, ControlBuilder, EntryBuilder, TargetBuilder};
pub use error::SettingsError;
pub use keys::keys;
pub use page::reference_page;
pub use process::{LimitSettings, LogSettings, ProcessSettings};
pub use read::effective_yaml;
pub use role::{Role, Settings};
pub use roles::{
    AgentSettings, ControlSettings, EntrySettings, InitialMember, Operator, RegisterSettings, TargetSettings,
};
pub use secret::Secret;
