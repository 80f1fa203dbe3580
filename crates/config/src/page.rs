//! The reference page `docs/CONFIGURATION.md`, generated from the declarations.

use chestnutfork_schema::reference_table;

use crate::keys::KEYS;

const INTRODUCTION: &str = "\
# Configuration document

The configuration is one versioned document that control replicates. Operators change it only through patches; see
`docs/OPERATIONS.md`. A patch is a JSON merge patch (RFC 7396) against a numbered version: a member replaces the value,
and `null` removes it, which restores the default. The resulting document is validated as a unit; every error names the
key, the allowed values and the remedy. `NAME` stands for a name of 1 to 64 letters, digits, `_` or `-`.

This page is generated from the declarations in `crates/config/src/keys.rs`. Regenerate it with
`cargo run -p chestnutfork-config --example configuration_page > docs/CONFIGURATION.md`.

";

const EXAMPLE: &str = r#"
## Example

```json
{
  "services": {
    "desk": { "pool": "runners", "at_most_once": true, "weigh": "messages" },
    "prices": {
      "pool": "runners",
      "at_most_once": false,
      "weigh": "latency",
      "hedge": { "enabled": true, "after": 2.5 }
    }
  },
  "teams": {
    "setters": {
      "token_sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
      "quota": 500,
      "services": ["desk", "prices"]
    }
  }
}
```

Compute the hash of a token with `printf %s "$TOKEN" | sha256sum`.

## Priority of routes

Deployments with leased runs replace a whole table of routes instead (docs/platform.md). The `priority` of a route is a number from
0, the most urgent, to 4294967295; a route without one has priority 0. It has an effect only if the routes of a service have different
priorities, and only while the demand for the service exceeds the capacity of its workers by more than 10%: then submissions
of less urgent routes are refused first, and waiting jobs are placed by priority. Only the order of the numbers counts. At most 8
priorities of a service are told apart; the less urgent ones beyond count as the eighth. docs/design/load-shedding.md gives the rules.
"#;

/// Returns the text of `docs/CONFIGURATION.md`.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_config::reference_page().contains("`services.NAME.pool`"));
/// ```
#[must_use]
pub fn reference_page() -> String {
    format!("{INTRODUCTION}{}{EXAMPLE}", reference_table(KEYS))
}
