//! Reports of measurements: percentiles, a table for people and JSON for machines.

use super::*;
use hdrhistogram::Histogram;

/// Units of a histogram in one millisecond.
const PER_MS: f64 = 1_000.0;

/// One figure of a row.
#[derive(Clone, Debug)]
pub struct Figure {
    /// Name, with its unit.
    pub name: String,
    /// Value.
    pub value: f64,
}

/// One row of a report: a way or size that was measured.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its figures.
    pub figures: Vec<Figure>,
    /// Name of the way or size.
    pub name: String,
}

/// A report of one measurement.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Its rows; all have the same figures.
    pub rows: Vec<Row>,
    /// What was measured.
    pub title: String,
}

impl Row {
    /// Adds a figure.
    #[must_use]
    pub fn figure(mut self, name: impl Into<String>, value: f64) -> Self {
        self.figures.push(Figure {
            name: name.into(),
            value,
        });
        self
    }

    /// A row without figures.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            figures: Vec::new(),
            name: name.into(),
        }
    }

    /// Adds one quantile of values in milliseconds.
    #[must_use]
    pub fn quantile(self, name: &str, values_ms: &[f64], quantile: f64) -> Self {
        let value = histogram(values_ms).value_at_quantile(quantile) as f64 / PER_MS;
        let percent = quantile * 100.0;
        self.figure(format!("{name} p{percent:.0} ms"), value)
    }

    /// Adds count, median, high percentiles and maximum of values in milliseconds.
    #[must_use]
    pub fn percentiles(self, name: &str, values_ms: &[f64]) -> Self {
        let histogram = histogram(values_ms);
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / PER_MS;
        self.figure(format!("{name} n"), values_ms.len() as f64)
            .figure(format!("{name} p50 ms"), at(0.5))
            .figure(format!("{name} p95 ms"), at(0.95))
            .figure(format!("{name} p99 ms"), at(0.99))
            .figure(format!("{name} max ms"), at(1.0))
    }
}

impl Report {
    /// A report without rows.
    pub fn new(title: &str) -> Self {
        Self {
            rows: Vec::new(),
            title: title.into(),
        }
    }

    /// Prints a table of Markdown and one line of JSON.
    pub fn print(&self) {
        println!("\n## {}\n", self.title);
        if let Some(first) = self.rows.first() {
            let names: Vec<&str> = first
                .figures
                .iter()
                .map(|figure| figure.name.as_str())
                .collect();
            println!("| | {} |", names.join(" | "));
            println!("|---|{}", "---:|".repeat(names.len()));
        }
        for row in &self.rows {
            let cells: Vec<String> = row
                .figures
                .iter()
                .map(|figure| short(figure.value))
                .collect();
            println!("| {} | {} |", row.name, cells.join(" | "));
        }
        let rows: Vec<Value> = self
            .rows
            .iter()
            .map(|row| {
                let figures: serde_json::Map<String, Value> = row
                    .figures
                    .iter()
                    .map(|figure| (figure.name.clone(), figure.value.into()))
                    .collect();
                json!({ "figures": figures, "name": row.name })
            })
            .collect();
        println!("\n{}", json!({ "rows": rows, "title": self.title }));
    }
}

fn histogram(values_ms: &[f64]) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for value in values_ms {
        let recorded = histogram.record((value * PER_MS) as u64);
        recorded.expect("the histogram grows");
    }
    histogram
}

/// Slope and offset of the line through points by least squares.
pub fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (slope, mean_y - slope * mean_x)
}

fn short(value: f64) -> String {
    if value.fract().abs() < f64::EPSILON && value.abs() < 1e9 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
