//! Report of a scenario: figures, goals and remarks, printed as JSON or as a table.

use std::fmt;

use comfy_table::presets;

/// The report of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed that the run used.
    pub seed: u64,
    /// Measured figures, in the order of the table.
    pub figures: Vec<Figure>,
    /// Stated goals and whether the run met them.
    pub goals: Vec<Goal>,
    /// Conditions of the run that a reader needs to interpret the figures.
    pub remarks: Vec<String>,
}

/// A measured value beside that of the baseline.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Unit of both values.
    pub unit: &'static str,
    /// Value with corneltrestle.
    pub value: f64,
    /// Value with the baseline; `None` if the baseline has no such figure.
    pub baseline: Option<f64>,
}

/// A stated goal. Its bound comes from the design page, never from a measurement.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Goal {
    /// The goal with its bound.
    pub name: String,
    /// Whether the run met the goal.
    pub met: bool,
    /// The measured value as text.
    pub found: String,
}

impl Report {
    /// An empty report.
    pub fn new(scenario: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.to_owned(),
            seed,
            figures: Vec::new(),
            goals: Vec::new(),
            remarks: Vec::new(),
        }
    }

    /// Adds a figure; `baseline` is `None` if the baseline has no such value.
    pub fn figure(&mut self, name: &str, unit: &'static str, value: f64, baseline: Option<f64>) {
        self.figures.push(Figure { name: name.to_owned(), unit, value, baseline });
    }

    /// Adds a goal with its result and the measured value as text.
    pub fn goal(&mut self, name: &str, met: bool, found: impl Into<String>) {
        self.goals.push(Goal { name: name.to_owned(), met, found: found.into() });
    }

    /// Adds a remark on the conditions of the run.
    pub fn remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// Whether the run met every goal.
    pub fn is_met(&self) -> bool {
        self.goals.iter().all(|goal| goal.met)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.scenario, self.seed)?;
        let mut table = comfy_table::Table::new();
        table.load_preset(presets::UTF8_FULL_CONDENSED);
        table.set_header(["figure", "unit", "corneltrestle", "baseline"]);
        for figure in &self.figures {
            let baseline = figure.baseline.map_or_else(|| "-".to_owned(), format_number);
            table.add_row([
                figure.name.clone(),
                figure.unit.to_owned(),
                format_number(figure.value),
                baseline,
            ]);
        }
        writeln!(f, "{table}")?;
        for goal in &self.goals {
            let verdict = if goal.met { "met" } else { "NOT MET" };
            writeln!(f, "goal {verdict}: {}; found {}", goal.name, goal.found)?;
        }
        self.remarks.iter().try_for_each(|remark| writeln!(f, "remark: {remark}"))
    }
}

/// Formats values below 1,000 with about three significant digits, larger ones and whole numbers
/// without decimals.
fn format_number(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 100.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
