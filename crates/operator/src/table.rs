//! Plain text tables.

/// Largest width of a cell; longer text is cut.
const MAX_WIDTH: usize = 60;
const GAP: &str = "  ";

/// Returns a table with aligned columns and a line under the header.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let rows: Vec<[String; N]> = rows
        .iter()
        .map(|row| row.each_ref().map(|cell| clean(cell)))
        .collect();
    let mut widths = header.map(width);
    for row in &rows {
        for (widest, cell) in widths.iter_mut().zip(row) {
            *widest = (*widest).max(width(cell));
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
    format!("{}\n", padded.join(GAP).trim_end())
}

fn width(text: &str) -> usize {
    text.chars().count()
}

/// Cuts a text to a cell and replaces control characters, which could change what a terminal shows.
pub(crate) fn clean(text: &str) -> String {
    let visible = |c: char| if c.is_control() { '?' } else { c };
    if width(text) <= MAX_WIDTH {
        return text.chars().map(visible).collect();
    }
    let start: String = text.chars().take(MAX_WIDTH - 3).map(visible).collect();
    format!("{start}...")
}
