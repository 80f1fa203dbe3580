//! Keys and the violations of their declarations.

use thiserror::Error;

/// Largest length of a name in bytes.
pub const NAME_MAX_LENGTH: usize = 64;

/// Kind of value that a key holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Object whose members are declared keys.
    Section,
    /// Object with freely named members, which the path with `*` declares.
    Table {
        /// Largest number of members.
        max: usize,
    },
    /// `true` or `false`.
    Boolean,
    /// Integer within bounds, both included.
    Integer {
        /// Least value.
        min: u64,
        /// Largest value.
        max: u64,
        /// Unit, or empty for a count.
        unit: &'static str,
    },
    /// Number within bounds, both included.
    Number {
        /// Least value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// One of a fixed set of strings.
    Enum(&'static [&'static str]),
    /// Name of letters, digits, `_` and `-`.
    Name,
    /// List of distinct names.
    Names {
        /// Largest number of names.
        max: usize,
    },
    /// IP address and port.
    Address,
    /// List of IP addresses with ports.
    Addresses {
        /// Least number of addresses.
        min: usize,
        /// Largest number of addresses.
        max: usize,
    },
    /// Path of a file or folder.
    Path,
    /// Secret text, never shown.
    Secret {
        /// Least length in bytes.
        min: usize,
    },
    /// SHA-256 hash as 64 hexadecimal digits, never shown.
    Sha256,
}

impl Kind {
    /// Reports whether values of the kind are never shown.
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

    /// Describes the allowed values.
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
            Self::Enum(words) => format!("one of {}", words.join(", ")),
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

/// Whether a key must be given, and what holds if it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key must be given.
    Required,
    /// The key may be absent and then has no value.
    Optional,
    /// The key has this default, written as JSON.
    Default(&'static str),
}

/// Declaration of one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Path of names joined by dots, with `*` for the free names of a table.
    pub path: &'static str,
    /// Kind of value.
    pub kind: Kind,
    /// Whether the key must be given.
    pub presence: Presence,
    /// Meaning for the operator.
    pub description: &'static str,
}

impl Key {
    /// Returns the last name of the path if the rest of the path is `parent`.
    pub(crate) fn name_under(&self, parent: &str) -> Option<&'static str> {
        match self.path.rsplit_once('.') {
            Some((above, name)) if above == parent => Some(name),
            None if parent.is_empty() => Some(self.path),
            _ => None,
        }
    }
}

/// Type of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ViolationKind {
    /// No key of that path is declared.
    UnknownKey,
    /// A required key is absent.
    Missing,
    /// The value has the wrong type or lies outside the range.
    InvalidValue,
    /// Two values contradict each other.
    Inconsistent,
}

/// Violation of a declaration, with the remedy in its message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct Violation {
    /// Path of the key.
    pub path: String,
    /// Type of the violation.
    pub kind: ViolationKind,
    /// What is wrong, what is allowed and what to do.
    pub message: String,
}

impl Violation {
    /// Builds a violation that involves several values.
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

/// Returns the declaration of a path of a document, in which table members have their own names.
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
    keys.iter().find(|key| matches(key.path, path))
}

fn matches(pattern: &str, path: &str) -> bool {
    let mut names = path.split('.');
    let all = pattern
        .split('.')
        .all(|part| names.next().is_some_and(|name| part == "*" || part == name));
    all && names.next().is_none()
}

/// Reports whether a text can be a name.
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
