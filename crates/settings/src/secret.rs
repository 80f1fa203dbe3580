//! Secret type with redacted `Debug` output.

use std::fmt;

use chestnutfork_schema::REDACTED;

/// Secret text that is redacted in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    ///
    /// # Examples
    ///
    /// ```
    /// let secret = chestnutfork_settings::Secret::new("0123456789abcdef");
    /// assert_eq!(format!("{secret:?}"), "[redacted]");
    /// ```
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_settings::Secret::new("abc").expose(), "abc");
    /// ```
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}
