use {
    super::{Line, Report, Status, plot, text::status, words},
    crate::ledger::TIERS,
    html_escape::encode_text,
    plotters::style::RGBColor,
    std::fmt::Write,
};

/// Largest number of objectives with plots. One takes about 20 KB, so the page stays below 3 MB.
const MAX_PLOTTED: usize = 100;

const STYLE: &str = "\
:root{color-scheme:light dark;--ground:#fff;--ink:#1c1c1e;--soft:#5c5c62;--grid:#d4d4d8;\
--rate:#1f62b4;--limit:#b3261e;--ok:#1b6e3c;--warn:#8a5a00}\
@media(prefers-color-scheme:dark){:root{--ground:#17181b;--ink:#ececf0;--soft:#a9a9b2;--grid:#3d3e45;\
--rate:#7db4f5;--limit:#ff8a80;--ok:#7fd19b;--warn:#f0c060}}\
body{background:var(--ground);color:var(--ink);font:15px/1.45 system-ui,sans-serif;margin:2rem auto;\
max-width:74rem;padding:0 1rem}\
h1{font-size:1.5rem}h2{font-size:1.1rem;margin:2rem 0 .3rem}\
.scroll{overflow-x:auto}table{border-collapse:collapse;font-size:.9rem}\
th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid var(--grid);white-space:nowrap}\
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}\
.soft{color:var(--soft)}.ok{color:var(--ok)}.warn{color:var(--warn)}.bad{color:var(--limit);font-weight:600}\
.plots{display:flex;flex-wrap:wrap;gap:1rem}figure{margin:0}figcaption{color:var(--soft);font-size:.85rem}\
svg{max-width:100%;height:auto}";

pub(crate) fn render(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(report, &mut out);
    out
}

fn write(report: &Report, out: &mut String) -> std::fmt::Result {
    let at = words::utc(report.at_ms);
    write!(
        out,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service levels at {at}</title><style>{STYLE}{}</style></head><body>\n\
         <h1>Service levels</h1>\n<p class=\"soft\">{at}, configuration {}</p>\n",
        markers(),
        report.number
    )?;
    table(report, out)?;
    let mut plotted: Vec<&Line> = report
        .lines
        .iter()
        .filter(|line| line.events() > 0)
        .collect();
    let left = |line: &Line| line.budget.left.unwrap_or(1.0);
    plotted.sort_by(|a, b| left(a).total_cmp(&left(b)));
    if plotted.len() > MAX_PLOTTED {
        writeln!(
            out,
            "<p class=\"soft\">Plots of the {MAX_PLOTTED} objectives with the least budget left.</p>"
        )?;
    }
    for line in plotted.into_iter().take(MAX_PLOTTED) {
        section(line, out)?;
    }
    out.push_str("<h2>Limits of these figures</h2>\n<ul>\n");
    for source in &report.sources {
        writeln!(
            out,
            "<li>{} counts since {}</li>",
            safe(&source.name),
            words::utc(source.since_ms)
        )?;
    }
    for remark in &report.remarks {
        writeln!(out, "<li>{}</li>", encode_text(&words::clean_long(remark)))?;
    }
    out.push_str("</ul>\n</body></html>\n");
    Ok(())
}

/// Style rules that give the marker colours of the plots the colours of the theme.
fn markers() -> String {
    [
        (plot::INK, "--ink"),
        (plot::GRID, "--grid"),
        (plot::RATE, "--rate"),
        (plot::LIMIT, "--limit"),
    ]
    .iter()
    .map(|(RGBColor(r, g, b), name)| {
        let marker = format!("#{r:02X}{g:02X}{b:02X}");
        format!(
            "svg [fill=\"{marker}\"]{{fill:var({name})}}svg [stroke=\"{marker}\"]{{stroke:var({name})}}"
        )
    })
    .collect()
}

fn table(report: &Report, out: &mut String) -> std::fmt::Result {
    if report.lines.is_empty() {
        return Ok(());
    }
    out.push_str(
        "<div class=\"scroll\"><table><thead><tr><th>account</th><th>objective</th>\
         <th class=\"n\">target</th><th class=\"n\">good</th><th class=\"n\">bad</th>\
         <th class=\"n\">attained</th><th class=\"n\">budget left</th>\
         <th class=\"n\">5 min / 1 h</th><th class=\"n\">30 min / 6 h</th>\
         <th class=\"n\">6 h / 3 d</th><th>exhausted</th><th>status</th></tr></thead><tbody>\n",
    );
    for line in &report.lines {
        write!(
            out,
            "<tr><td>{}</td><td>{}</td>",
            safe(&line.account),
            safe(&words::objective(line))
        )?;
        for value in [
            words::percent(line.target),
            line.good.to_string(),
            line.bad.to_string(),
            line.attained.map_or_else(|| "-".to_owned(), words::percent),
            line.budget
                .left
                .map_or_else(|| "-".to_owned(), words::percent),
        ] {
            write!(out, "<td class=\"n\">{value}</td>")?;
        }
        for burn in &line.burns {
            write!(
                out,
                "<td class=\"n{}\">{} / {}</td>",
                if burn.alert { " bad" } else { "" },
                words::rate(burn.short.rate),
                words::rate(burn.long.rate)
            )?;
        }
        writeln!(
            out,
            "<td>{}</td><td class=\"{}\">{}</td></tr>",
            words::exhaustion(line),
            class(line.status),
            status(line.status)
        )?;
    }
    out.push_str("</tbody></table></div>\n");
    Ok(())
}

fn section(line: &Line, out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "<h2>{}: {}</h2>",
        safe(&line.account),
        safe(&words::objective(line))
    )?;
    let since = line.since_ms.map_or_else(|| "-".to_owned(), words::utc);
    write!(
        out,
        "<p class=\"soft\">Counted since {since}, {} of {}.",
        words::span(line.budget.counted_ms),
        words::span(line.budget.period_ms)
    )?;
    if !line.reasons.is_empty() {
        write!(out, " Reasons: {}.", encode_text(&words::reasons(line)))?;
    }
    out.push_str("</p>\n<div class=\"plots\">\n");
    for (points, tier, caption) in [
        (&line.recent, 1, "last 6 h in steps of 10 min"),
        (&line.longer, 2, "last 3 d in steps of 2 h"),
    ] {
        let (width_ms, count) = TIERS[tier];
        if let Some(svg) = plot::render(line, points, count as u16 - 1, width_ms, "hours before") {
            writeln!(
                out,
                "<figure>{svg}<figcaption>Burn rate, {caption}; 1 spends the budget in exactly 30 days\
                 </figcaption></figure>"
            )?;
        }
    }
    out.push_str("</div>\n");
    Ok(())
}

fn safe(text: &str) -> String {
    encode_text(&words::clean(text)).into_owned()
}

fn class(status: Status) -> &'static str {
    match status {
        Status::NoEvents => "soft",
        Status::Ok => "ok",
        Status::Ticket => "warn",
        Status::Page | Status::Exhausted => "bad",
    }
}
