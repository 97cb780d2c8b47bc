//! Figures of a scenario, as values and as a table.

use std::fmt;

use comfy_table::presets;

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// The figures.
    pub figures: Vec<Figure>,
    /// Goals with what was measured.
    pub goals: Vec<Goal>,
    /// What a reader needs to know about the run.
    pub remarks: Vec<String>,
}

/// One figure beside the baseline's.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// The figure of corneltrestle.
    pub value: f64,
    /// The figure of the baseline; `None` where it has none.
    pub baseline: Option<f64>,
}

/// A stated goal; its bound comes from the design page, never from a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Goal {
    /// The goal.
    pub name: String,
    /// Whether it was met.
    pub met: bool,
    /// The measured figure in words.
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

    /// Adds a figure.
    pub fn figure(&mut self, name: &str, unit: &'static str, value: f64, baseline: Option<f64>) {
        self.figures.push(Figure { name: name.to_owned(), unit, value, baseline });
    }

    /// Adds a goal.
    pub fn goal(&mut self, name: &str, met: bool, found: impl Into<String>) {
        self.goals.push(Goal { name: name.to_owned(), met, found: found.into() });
    }

    /// Adds a remark.
    pub fn remark(&mut self, text: impl Into<String>) {
        self.remarks.push(text.into());
    }

    /// Whether every goal was met.
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
            let baseline = figure.baseline.map_or_else(|| "-".to_owned(), number);
            table.add_row([
                figure.name.clone(),
                figure.unit.to_owned(),
                number(figure.value),
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

/// Three significant digits below 1,000, whole numbers above.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 100.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
