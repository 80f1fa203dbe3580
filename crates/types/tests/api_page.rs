//! Compares docs/API.md with the refusal codes.

use chestnutfork_types::RefusalCode;

const PAGE: &str = include_str!("../../../docs/API.md");

/// Guards against a refusal code that is missing from the page and against a row with an empty cell.
#[test]
fn api_page_lists_every_refusal_code() {
    for code in RefusalCode::ALL {
        let start = format!("| `{code}` | ");
        let rows: Vec<_> = PAGE.lines().filter(|line| line.starts_with(&start)).collect();
        assert_eq!(rows.len(), 1, "{code}");
        let cells: Vec<_> = rows[0].trim_matches('|').split(" | ").collect();
        assert_eq!(cells.len(), 4, "{code}: {}", rows[0]);
        assert!(cells.iter().all(|cell| !cell.trim().is_empty()), "{code}");
    }
}
