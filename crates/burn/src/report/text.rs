use {
    super::{Line, Report, Status, window::Window, words},
    comfy_table::{Table, presets::ASCII_BORDERS_ONLY_CONDENSED},
};

pub(crate) fn render(report: &Report) -> String {
    let mut out = format!(
        "service levels at {} under configuration {}\n\n",
        words::utc(report.at_ms),
        report.number
    );
    let mut table = Table::new();
    table.load_preset(ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header([
        "account",
        "objective",
        "target",
        "good",
        "bad",
        "attained",
        "budget left",
        "burn 5min/1h 30min/6h 6h/3d",
        "exhausted",
        "status",
    ]);
    for line in &report.lines {
        table.add_row(row(line));
    }
    if !report.lines.is_empty() {
        out.push_str(&format!("{table}\n\n"));
    }
    for line in report.lines.iter().filter(|line| line.events() > 0) {
        out.push_str(&format!(
            "{}, {}: counted {} of {}",
            words::clean(&line.account),
            words::objective(line),
            words::span(line.budget.counted_ms),
            words::span(line.budget.period_ms)
        ));
        if !line.reasons.is_empty() {
            out.push_str(&format!("; reasons: {}", words::reasons(line)));
        }
        out.push('\n');
    }
    for source in &report.sources {
        out.push_str(&format!(
            "{} counts since {}\n",
            words::clean(&source.name),
            words::utc(source.since_ms)
        ));
    }
    for remark in &report.remarks {
        out.push_str(&format!("note: {}\n", words::clean_long(remark)));
    }
    out
}

fn row(line: &Line) -> Vec<String> {
    let burns: Vec<String> = line
        .burns
        .iter()
        .map(|burn| {
            format!(
                "{}/{}{}",
                cell(&burn.short),
                cell(&burn.long),
                if burn.alert { "!" } else { "" }
            )
        })
        .collect();
    vec![
        words::clean(&line.account),
        words::objective(line),
        words::percent(line.target),
        line.good.to_string(),
        line.bad.to_string(),
        line.attained.map_or_else(|| "-".to_owned(), words::percent),
        line.budget
            .left
            .map_or_else(|| "-".to_owned(), words::percent),
        burns.join(" "),
        words::exhaustion(line),
        status(line.status).to_owned(),
    ]
}

fn cell(window: &Window) -> String {
    words::rate(window.rate)
}

pub(crate) fn status(status: Status) -> &'static str {
    match status {
        Status::NoEvents => "no events",
        Status::Ok => "ok",
        Status::Ticket => "ticket",
        Status::Page => "page",
        Status::Exhausted => "exhausted",
    }
}
