//! Teams as the HTTP front sees them: tokens and the services that they may use.

use std::fmt;

use chestnutfork_types::{ServiceName, ServicePolicy, TeamName};
use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Unusable team.
#[derive(Debug, Error)]
pub enum TeamTableError {
    /// The hash of a token is not 64 hexadecimal digits.
    #[error("`token_sha256` of team `{team}` is not 64 hexadecimal digits; hash the token with SHA-256")]
    BadHash {
        /// Name of the team.
        team: TeamName,
    },
}

/// Team with its token hash.
#[derive(Clone)]
struct Team {
    name: TeamName,
    token: [u8; 32],
    services: Vec<ServiceName>,
}

/// Read-only table of teams and service policies that the HTTP front consults.
///
/// The entry replaces it as a whole when a configuration version comes into force.
#[derive(Clone, Default)]
pub struct TeamTable {
    teams: Vec<Team>,
    policies: IndexMap<ServiceName, ServicePolicy>,
}

impl fmt::Debug for TeamTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let teams: Vec<_> = self.teams.iter().map(|team| &team.name).collect();
        f.debug_struct("TeamTable")
            .field("teams", &teams)
            .field("services", &self.policies.len())
            .finish()
    }
}

impl TeamTable {
    /// Creates a table with the given service policies and no teams.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_entry::TeamTable;
    ///
    /// let table = TeamTable::new(Default::default());
    /// assert!(table.authenticate("token").is_none());
    /// ```
    #[must_use]
    pub fn new(policies: IndexMap<ServiceName, ServicePolicy>) -> Self {
        Self {
            teams: Vec::new(),
            policies,
        }
    }

    /// Adds a team with the SHA-256 of its token in hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`TeamTableError::BadHash`] if the hash is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_entry::TeamTable;
    ///
    /// let mut table = TeamTable::new(Default::default());
    /// assert!(table.add_team("setters", "zz", vec!["desk".into()]).is_err());
    /// ```
    pub fn add_team(
        &mut self,
        name: impl Into<TeamName>,
        token_sha256: &str,
        services: Vec<ServiceName>,
    ) -> Result<(), TeamTableError> {
        let name = name.into();
        let Some(token) = parse_hash(token_sha256) else {
            return Err(TeamTableError::BadHash { team: name });
        };
        self.teams.push(Team {
            name,
            token,
            services,
        });
        Ok(())
    }

    /// Returns the team that a token belongs to.
    ///
    /// The time does not depend on how much of the token is right.
    #[must_use]
    pub fn authenticate(&self, token: &str) -> Option<&TeamName> {
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for team in &self.teams {
            if same(&team.token, &hash) {
                found = Some(&team.name);
            }
        }
        found
    }

    /// Reports whether a team may submit to a service.
    #[must_use]
    pub fn allows(&self, team: &str, service: &str) -> bool {
        let team = self.teams.iter().find(|known| known.name == team);
        team.is_some_and(|team| team.services.iter().any(|allowed| allowed == service))
    }

    /// Returns the policy of a service.
    #[must_use]
    pub fn policy(&self, service: &str) -> Option<&ServicePolicy> {
        self.policies.get(service)
    }
}

fn same(a: &[u8; 32], b: &[u8; 32]) -> bool {
    a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(hash)
}
