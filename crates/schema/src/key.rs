//! Key declarations and their violations.

use thiserror::Error;

/// Maximum length of a name in bytes.
pub const NAME_MAX_LENGTH: usize = 64;

/// Kind of value that a key accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Object whose members are declared individually.
    Section,
    /// Object with user-defined member names; the declaration whose path ends in `*` applies to each member.
    Table {
        /// Maximum number of members.
        max: usize,
    },
    /// `true` or `false`.
    Boolean,
    /// Integer within inclusive bounds.
    Integer {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
        /// Unit, or empty for a count.
        unit: &'static str,
    },
    /// Number within inclusive bounds.
    Number {
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// One of a fixed set of strings.
    Enum(&'static [&'static str]),
    /// Name of letters, digits, `_` and `-`.
    Name,
    /// List of distinct names.
    Names {
        /// Maximum number of names.
        max: usize,
    },
    /// IP address and port.
    Address,
    /// List of IP addresses with ports.
    Addresses {
        /// Minimum number of addresses.
        min: usize,
        /// Maximum number of addresses.
        max: usize,
    },
    /// Path of a file or directory.
    Path,
    /// Secret text, redacted in all output.
    Secret {
        /// Minimum length in bytes.
        min: usize,
    },
    /// SHA-256 hash as 64 hexadecimal digits, redacted in all output.
    Sha256,
}

impl Kind {
    /// Returns whether values of the kind are redacted in all output.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_schema::Kind;
    ///
    /// assert!(Kind::Sha256.is_secret());
    /// assert!(!Kind::Boolean.is_secret());
    /// ```
    #[must_use]
    pub fn is_secret(self) -> bool {
        matches!(self, Self::Secret { .. } | Self::Sha256)
    }

    /// Returns a description of the allowed values for error messages and reference tables.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_schema::Kind;
    ///
    /// let kind = Kind::Integer { min: 1, max: 9, unit: "ms" };
    /// assert_eq!(kind.expected(), "an integer from 1 to 9 (ms)");
    /// ```
    #[must_use]
    pub fn expected(self) -> String {
        match self {
            Self::Section => "a section with keys".to_owned(),
            Self::Table { max } => format!("a table of at most {max} names"),
            Self::Boolean => "true or false".to_owned(),
            Self::Integer { min, max, unit: "" } => format!("an integer from {min} to {max}"),
            Self::Integer { min, max, unit } => format!("an integer from {min} to {max} ({unit})"),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Enum(choices) => format!("one of {}", choices.join(", ")),
            Self::Name => format!("a name of 1 to {NAME_MAX_LENGTH} letters, digits, `_` or `-`"),
            Self::Names { max } => format!("a list of at most {max} distinct names"),
            Self::Address => "an IP address and port such as 127.0.0.1:7000".to_owned(),
            Self::Addresses { min, max } => {
                format!("a list of {min} to {max} IP addresses with ports such as 127.0.0.1:7000")
            }
            Self::Path => "a path of a file or folder".to_owned(),
            Self::Secret { min } => format!("a secret of at least {min} bytes"),
            Self::Sha256 => "a SHA-256 hash of 64 hexadecimal digits".to_owned(),
        }
    }
}

/// Whether a key is required, and its default if it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key must be present.
    Required,
    /// The key may be absent and has no default.
    Optional,
    /// The key may be absent and has this default, written as JSON.
    Default(&'static str),
}

/// Declaration of one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Path of names joined by dots, with `*` for the user-defined names of a table.
    pub path: &'static str,
    /// Kind of value.
    pub kind: Kind,
    /// Whether the key is required, and its default.
    pub presence: Presence,
    /// Description for the reference page.
    pub description: &'static str,
}

impl Key {
    /// Returns the last segment of the path if the key is a direct child of `parent`.
    pub(crate) fn child_name(&self, parent: &str) -> Option<&'static str> {
        match self.path.rsplit_once('.') {
            Some((prefix, name)) if prefix == parent => Some(name),
            None if parent.is_empty() => Some(self.path),
            _ => None,
        }
    }
}

/// Type of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ViolationKind {
    /// No key is declared at the path.
    UnknownKey,
    /// A required key is absent.
    Missing,
    /// The value has the wrong type or is outside the allowed range, or a name is malformed.
    InvalidValue,
    /// The value conflicts with other values or cannot be used.
    Inconsistent,
}

/// Violation of the schema, with a remedy in its message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct Violation {
    /// Path of the key.
    pub path: String,
    /// Type of the violation.
    pub kind: ViolationKind,
    /// Problem, allowed values and remedy.
    pub message: String,
}

impl Violation {
    /// Creates a violation of the type [`ViolationKind::Inconsistent`].
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_schema::{Violation, ViolationKind};
    ///
    /// let violation = Violation::inconsistent("a.b", "is above a.c; lower it");
    /// assert_eq!(violation.kind, ViolationKind::Inconsistent);
    /// assert_eq!(violation.to_string(), "a.b: is above a.c; lower it");
    /// ```
    #[must_use]
    pub fn inconsistent(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            kind: ViolationKind::Inconsistent,
            message: message.into(),
        }
    }
}

/// Returns the declaration that applies to a path in a document; `*` in a declaration matches any table member.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::{Key, Kind, Presence, key_at};
///
/// const KEYS: &[Key] = &[Key {
///     path: "teams.*",
///     kind: Kind::Section,
///     presence: Presence::Optional,
///     description: "A team.",
/// }];
/// assert!(key_at(KEYS, "teams.setters").is_some());
/// assert!(key_at(KEYS, "teams").is_none());
/// ```
#[must_use]
pub fn key_at<'a>(keys: &'a [Key], path: &str) -> Option<&'a Key> {
    keys.iter().find(|key| matches_pattern(key.path, path))
}

fn matches_pattern(pattern: &str, path: &str) -> bool {
    let mut names = path.split('.');
    let prefix_matches = pattern
        .split('.')
        .all(|part| names.next().is_some_and(|name| part == "*" || part == name));
    prefix_matches && names.next().is_none()
}

/// Returns whether a text is a valid name.
///
/// # Examples
///
/// ```
/// use chestnutfork_schema::is_name;
///
/// assert!(is_name("entry-1"));
/// assert!(!is_name("entry 1"));
/// ```
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    (1..=NAME_MAX_LENGTH).contains(&text.len()) && text.bytes().all(allowed)
}
