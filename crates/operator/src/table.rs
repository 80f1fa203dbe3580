//! Plain-text tables.

/// Maximum width of a cell in characters; longer text is truncated.
const MAX_CELL_WIDTH: usize = 60;
const COLUMN_SEPARATOR: &str = "  ";

/// Returns a table with aligned columns and a rule under the header.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let rows: Vec<[String; N]> = rows
        .iter()
        .map(|row| row.each_ref().map(|cell| sanitize_cell(cell)))
        .collect();
    let mut widths = header.map(width);
    for row in &rows {
        for (column_width, cell) in widths.iter_mut().zip(row) {
            *column_width = (*column_width).max(width(cell));
        }
    }
    let rule = widths.map(|width| "-".repeat(width));
    let mut text = line(&header.map(ToOwned::to_owned), widths);
    text.push_str(&line(&rule, widths));
    for row in &rows {
        text.push_str(&line(row, widths));
    }
    text
}

fn line<const N: usize>(cells: &[String; N], widths: [usize; N]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join(COLUMN_SEPARATOR).trim_end())
}

fn width(text: &str) -> usize {
    text.chars().count()
}

/// Truncates a text to the cell width and replaces control characters, which could manipulate the terminal.
pub(crate) fn sanitize_cell(text: &str) -> String {
    let visible = |c: char| if c.is_control() { '?' } else { c };
    if width(text) <= MAX_CELL_WIDTH {
        return text.chars().map(visible).collect();
    }
    let start: String = text.chars().take(MAX_CELL_WIDTH - 3).map(visible).collect();
    format!("{start}...")
}
