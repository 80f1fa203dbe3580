//! Hashes of bearer tokens.

use std::fmt;
use std::hint::black_box;

use sha2::{Digest, Sha256};

const HASH_LENGTH: usize = 32;

/// SHA-256 hash of a bearer token, redacted in `Debug` output.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TokenHash([u8; HASH_LENGTH]);

impl TokenHash {
    /// Returns the hash of a token.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::TokenHash;
    ///
    /// assert!(TokenHash::of("secret").matches(&TokenHash::of("secret")));
    /// ```
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Parses a hash of 64 hexadecimal digits; returns `None` if the text is not one.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::TokenHash;
    ///
    /// let hash = TokenHash::of("secret");
    /// assert_eq!(TokenHash::from_hex(&hash.to_hex()), Some(hash));
    /// assert_eq!(TokenHash::from_hex("12"), None);
    /// ```
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * HASH_LENGTH || !text.is_ascii() {
            return None;
        }
        let mut hash = [0; HASH_LENGTH];
        for (position, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(hash))
    }

    /// Returns the hash as 64 hexadecimal digits.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::TokenHash::of("test").to_hex().starts_with("9f86d081"));
    /// ```
    #[must_use]
    pub fn to_hex(self) -> String {
        let digit = |value: u8| char::from_digit(u32::from(value), 16).unwrap_or('0');
        let digits = self.0.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
        digits.map(digit).collect()
    }

    /// Compares two hashes in constant time.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::TokenHash;
    ///
    /// assert!(!TokenHash::of("a").matches(&TokenHash::of("b")));
    /// ```
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        let difference = pairs.fold(0, |all, (a, b)| black_box(all | (a ^ b)));
        difference == 0
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash([redacted])")
    }
}
