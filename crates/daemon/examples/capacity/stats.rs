use std::{fs, time::Duration};

/// Value below which the fraction `q` of the samples lies; zero without samples.
pub fn quantile(samples: &[f64], q: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (q * sorted.len() as f64).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

/// Count, quantiles and extremes of durations in milliseconds.
pub fn latency(samples: &[Duration]) -> String {
    let ms: Vec<f64> = samples.iter().map(|d| d.as_secs_f64() * 1e3).collect();
    format!(
        "n={} min={:.1} p50={:.1} p99={:.1} max={:.1} ms",
        ms.len(),
        quantile(&ms, 0.0),
        quantile(&ms, 0.5),
        quantile(&ms, 0.99),
        quantile(&ms, 1.0)
    )
}

/// Minimum, median and maximum of repeated measurements.
pub fn spread(samples: &[f64]) -> String {
    format!(
        "{:.2}/{:.2}/{:.2}",
        quantile(samples, 0.0),
        quantile(samples, 0.5),
        quantile(samples, 1.0)
    )
}

/// Load average of the machine over 1, 5 and 15 minutes.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let words: Vec<&str> = text.split_whitespace().take(3).collect();
    words.join(" ")
}
