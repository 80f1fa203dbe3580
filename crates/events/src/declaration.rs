//! Declarations of events, and the macro that generates an enum for each group.

use std::time::Duration;

/// Severity of an event, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// Detail for debugging.
    Debug,
    /// Normal change of state.
    Info,
    /// Degraded state that the system handles; to be investigated if it persists.
    Warn,
    /// Failure that needs action by an operator.
    Error,
    /// The process cannot continue.
    Critical,
}

impl Severity {
    /// All severities in ascending order.
    pub const ALL: [Self; 5] = [Self::Debug, Self::Info, Self::Warn, Self::Error, Self::Critical];

    /// Returns the name used in settings and output.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_events::Severity::Warn.as_str(), "warn");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warn => "warn",
            Self::Error => "error",
            Self::Critical => "critical",
        }
    }

    /// Returns the severity with a name used in settings and output.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_events::Severity;
    ///
    /// assert_eq!(Severity::from_name("info"), Some(Severity::Info));
    /// assert_eq!(Severity::from_name("loud"), None);
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|severity| severity.as_str() == name)
    }

    pub(crate) const fn level(self) -> spdlog::Level {
        match self {
            Self::Debug => spdlog::Level::Debug,
            Self::Info => spdlog::Level::Info,
            Self::Warn => spdlog::Level::Warn,
            Self::Error => spdlog::Level::Error,
            Self::Critical => spdlog::Level::Critical,
        }
    }
}

/// Type of the value of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FieldKind {
    /// UTF-8 string.
    Text,
    /// Unsigned integer.
    Integer,
    /// True or false.
    Boolean,
    /// Duration, written as an integer number of milliseconds.
    Duration,
}

impl FieldKind {
    /// Returns the name that the catalogue uses.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_events::FieldKind::Duration.as_str(), "milliseconds");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Integer => "integer",
            Self::Boolean => "boolean",
            Self::Duration => "milliseconds",
        }
    }
}

/// Declaration of a field of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name in the output.
    pub name: &'static str,
    /// Type of the value.
    pub kind: FieldKind,
    /// Meaning of the value.
    pub meaning: &'static str,
}

/// Declaration of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Stable number, which is never reused for another event.
    pub number: u16,
    /// Stable name.
    pub name: &'static str,
    /// Severity of all occurrences of the event.
    pub severity: Severity,
    /// Constant message without data.
    pub message: &'static str,
    /// Fields in output order.
    pub fields: &'static [Field],
    /// Condition that the event reports.
    pub meaning: &'static str,
    /// Action for the operator.
    pub remedy: &'static str,
}

/// Event that can be logged.
pub trait Event {
    /// Declarations of all events of the group.
    const DECLARATIONS: &'static [&'static Declaration];

    /// Returns the declaration of this event.
    fn declaration(&self) -> &'static Declaration;

    /// Writes the event to a logger if its severity passes the logger's level filter.
    fn log(&self, logger: &spdlog::Logger);
}

/// Rust type that a field of an event can have.
pub(crate) trait FieldValue {
    /// Type of the value in the output.
    const KIND: FieldKind;
    /// Type that is passed to the logger.
    type Output;

    fn output(&self) -> Self::Output;
}

impl<'a> FieldValue for &'a str {
    const KIND: FieldKind = FieldKind::Text;
    type Output = &'a str;

    fn output(&self) -> &'a str {
        self
    }
}

impl FieldValue for u64 {
    const KIND: FieldKind = FieldKind::Integer;
    type Output = Self;

    fn output(&self) -> Self {
        *self
    }
}

impl FieldValue for bool {
    const KIND: FieldKind = FieldKind::Boolean;
    type Output = Self;

    fn output(&self) -> Self {
        *self
    }
}

impl FieldValue for Duration {
    const KIND: FieldKind = FieldKind::Duration;
    type Output = u64;

    fn output(&self) -> u64 {
        u64::try_from(self.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Generates a group of events: the enum, its declarations and its [`Event`] implementation.
macro_rules! events {
    (
        $(#[$doc:meta])*
        pub enum $group:ident<$life:lifetime> {
            $(
                $number:literal $variant:ident $name:literal $severity:ident $message:literal
                { $($field:ident: $type:ty = $field_meaning:literal),* $(,)? }
                meaning: $meaning:literal,
                remedy: $remedy:literal;
            )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $group<$life> {
            $(
                #[doc = $meaning]
                $variant {
                    $(
                        #[doc = $field_meaning]
                        $field: $type,
                    )*
                },
            )*
        }

        impl<$life> $crate::declaration::Event for $group<$life> {
            const DECLARATIONS: &'static [&'static $crate::declaration::Declaration] = &[
                $(
                    &$crate::declaration::Declaration {
                        number: $number,
                        name: $name,
                        severity: $crate::declaration::Severity::$severity,
                        message: $message,
                        fields: &[
                            $(
                                $crate::declaration::Field {
                                    name: stringify!($field),
                                    kind: <$type as $crate::declaration::FieldValue>::KIND,
                                    meaning: $field_meaning,
                                },
                            )*
                        ],
                        meaning: $meaning,
                        remedy: $remedy,
                    },
                )*
            ];

            fn declaration(&self) -> &'static $crate::declaration::Declaration {
                let number = match self {
                    $(Self::$variant { .. } => $number,)*
                };
                $crate::declaration::find(Self::DECLARATIONS, number)
            }

            fn log(&self, logger: &spdlog::Logger) {
                match self {
                    $(
                        Self::$variant { $($field),* } => {
                            const LEVEL: spdlog::Level = $crate::declaration::Severity::$severity.level();
                            $(let $field = $crate::declaration::FieldValue::output($field);)*
                            spdlog::log!(logger: logger, LEVEL, $message, kv: {
                                event = $number, name = $name $(, $field = $field)*
                            });
                        }
                    )*
                }
            }
        }
    };
}

pub(crate) use events;

/// Returns the declaration with a number, which must be in the group.
pub(crate) fn find(declarations: &'static [&'static Declaration], number: u16) -> &'static Declaration {
    declarations
        .iter()
        .find(|declaration| declaration.number == number)
        .expect("the macro lists every variant")
}
