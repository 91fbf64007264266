//! Figures and names as people read them.

use {super::Line, chrono::DateTime, model::account::Measure};

/// Longest shown name or reason, in characters.
const MAX_NAME_CHARS: usize = 80;

/// Longest shown sentence, in characters.
const MAX_SENTENCE_CHARS: usize = 400;

pub(crate) fn clean(text: &str) -> String {
    printable(text, MAX_NAME_CHARS)
}

/// Like [`clean`], for a sentence.
pub(crate) fn clean_long(text: &str) -> String {
    printable(text, MAX_SENTENCE_CHARS)
}

/// Returns `text` without control characters and with at most `limit` characters. Names and reasons
/// may come from another machine and must not move the cursor of a terminal.
pub fn printable(text: &str, limit: usize) -> String {
    let mut shown: String = text
        .chars()
        .take(limit)
        .map(|c| if unprintable(c) { '?' } else { c })
        .collect();
    if text.chars().nth(limit).is_some() {
        shown.push('…');
    }
    shown
}

/// Like [`printable`], but keeps the ends of lines.
pub fn printable_lines(text: &str, limit: usize) -> String {
    let lines: Vec<String> = text.lines().map(|line| printable(line, limit)).collect();
    lines.join("\n")
}

fn unprintable(c: char) -> bool {
    // Directional controls reorder the text around them.
    c.is_control()
        || matches!(c, '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// Returns the UTC time of milliseconds since the Unix epoch.
pub fn utc(ms: u64) -> String {
    i64::try_from(ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis)
        .map_or_else(
            || "out of range".to_owned(),
            |time| time.format("%Y-%m-%d %H:%M:%SZ").to_string(),
        )
}

/// Returns a duration in its two largest units.
pub fn span(ms: u64) -> String {
    let seconds = ms / 1000;
    match seconds {
        0 => format!("{ms} ms"),
        1..60 if !ms.is_multiple_of(1000) => format!("{:.1} s", ms as f64 / 1e3),
        1..60 => format!("{seconds} s"),
        60..3_600 => pair(seconds / 60, "min", seconds % 60, "s"),
        3_600..86_400 => pair(seconds / 3_600, "h", seconds / 60 % 60, "min"),
        _ => pair(seconds / 86_400, "d", seconds / 3_600 % 24, "h"),
    }
}

fn pair(large: u64, large_unit: &str, small: u64, small_unit: &str) -> String {
    if small == 0 {
        format!("{large} {large_unit}")
    } else {
        format!("{large} {large_unit} {small} {small_unit}")
    }
}

/// Returns a fraction in percent, with enough digits to tell it from 100%.
pub(crate) fn percent(fraction: f64) -> String {
    let value = fraction * 100.0;
    if value != 100.0 && (99.9..100.1).contains(&value) {
        format!("{value:.4}%")
    } else {
        format!("{value:.2}%")
    }
}

pub(crate) fn rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.1}"))
}

pub(crate) fn objective(line: &Line) -> String {
    let class = clean(&line.class);
    let within = span(line.within_ms);
    match line.measure {
        Measure::JobStart => format!("{class} job starts within {within}"),
        Measure::JobCompletion => format!("{class} job ends within {within}"),
        Measure::Answer => format!("{class} request answered within {within}"),
        Measure::Admission => format!("{class} request admitted"),
    }
}

pub(crate) fn exhaustion(line: &Line) -> String {
    match line.budget.exhausted_in_ms {
        None if line.events() == 0 => "-".to_owned(),
        None => "not burning".to_owned(),
        Some(0) => "exhausted".to_owned(),
        Some(ms) => format!("in {}", span(ms)),
    }
}

pub(crate) fn reasons(line: &Line) -> String {
    line.reasons
        .iter()
        .map(|reason| format!("{} {}", clean(&reason.text), reason.count))
        .collect::<Vec<_>>()
        .join(", ")
}
