use {
    crate::error::Error,
    comfy_table::{Table, presets::NOTHING},
    serde::Serialize,
    std::io::Write,
};

/// Longest shown text of one cell, in characters.
const MAX_CELL_CHARS: usize = 120;

/// Where results and messages go.
pub struct Console<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and errors.
    pub err: &'a mut dyn Write,
}

impl Console<'_> {
    /// Prints one line of a result.
    pub fn line(&mut self, text: impl AsRef<str>) -> Result<(), Error> {
        let text = burn::printable_lines(text.as_ref(), usize::MAX);
        Ok(writeln!(self.out, "{text}")?)
    }

    /// Prints a value as JSON. Control characters beyond those that JSON forbids are escaped too,
    /// since some terminals obey them.
    pub fn json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value).map_err(std::io::Error::other)?;
        let mut safe = String::with_capacity(text.len());
        for c in text.chars() {
            match c {
                '\u{7f}'..='\u{9f}' => safe.push_str(&format!("\\u{:04x}", u32::from(c))),
                _ => safe.push(c),
            }
        }
        Ok(writeln!(self.out, "{safe}")?)
    }

    /// Prints a table, or `empty` if there are no rows.
    pub fn table<const N: usize>(
        &mut self,
        header: [&str; N],
        rows: Vec<[String; N]>,
        empty: &str,
    ) -> Result<(), Error> {
        if rows.is_empty() {
            return self.line(empty);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING).set_header(header);
        for row in rows {
            table.add_row(row.map(|cell| burn::printable(&cell, MAX_CELL_CHARS)));
        }
        Ok(writeln!(self.out, "{}", table.trim_fmt())?)
    }

    /// Prints a message that is not part of the result. A closed standard error does not matter.
    pub fn note(&mut self, text: impl AsRef<str>) {
        let _ = writeln!(self.err, "{}", burn::printable(text.as_ref(), usize::MAX));
    }
}
