//! Validated configuration document with look-ups for the roles.

use chestnutfork_types::{ServiceName, ServicePolicy, TeamName};
use indexmap::IndexMap;

use crate::token::TokenHash;

/// Team that may submit jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team, its key in the `teams` table.
    pub name: TeamName,
    /// Hash of the team's bearer token.
    pub token: TokenHash,
    /// Largest number of tasks in flight across all entries.
    pub quota: u32,
    /// Services that the team may submit to.
    pub services: Vec<ServiceName>,
}

impl Team {
    /// Reports whether the team may submit to a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::{Team, TokenHash};
    ///
    /// let token = TokenHash::of("secret");
    /// let team = Team { name: "setters".into(), token, quota: 5, services: vec!["desk".into()] };
    /// assert!(team.may_submit_to("desk"));
    /// assert!(!team.may_submit_to("prices"));
    /// ```
    #[must_use]
    pub fn may_submit_to(&self, service: &str) -> bool {
        self.services.iter().any(|name| name == service)
    }
}

/// Validated configuration document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    pub(crate) services: IndexMap<ServiceName, ServicePolicy>,
    pub(crate) teams: IndexMap<TeamName, Team>,
}

impl Document {
    /// Looks up the policy of a service.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = serde_json::json!({ "services": { "desk": { "pool": "main" } } });
    /// let document = chestnutfork_config::validate(&body).unwrap();
    /// assert_eq!(document.service("desk").unwrap().pool, "main");
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Iterates over all services in the order of names.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::Document::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServicePolicy)> {
        self.services.iter()
    }

    /// Looks up a team by name.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::Document::default().team("setters").is_none());
    /// ```
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Iterates over all teams in the order of names.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::Document::default().teams().count(), 0);
    /// ```
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Looks up the team that a bearer token belongs to.
    ///
    /// Compares the hash with those of all teams, each in constant time, so that the response time reveals nothing
    /// about the tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_config::Document::default().team_by_token("secret").is_none());
    /// ```
    #[must_use]
    pub fn team_by_token(&self, token: &str) -> Option<&Team> {
        let hash = TokenHash::of(token);
        let mut found = None;
        for team in self.teams.values() {
            if team.token.matches(&hash) {
                found = Some(team);
            }
        }
        found
    }
}
