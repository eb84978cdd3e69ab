//! Prints tables of measured values and writes them as CSV.

use std::fs;
use std::io;
use std::path::Path;

use crate::fit::Line;

/// A table with one row for each measured size or arm.
#[derive(Debug, Clone)]
pub struct Report {
    name: String,
    columns: Vec<String>,
    rows: Vec<(String, Vec<f64>)>,
}

impl Report {
    /// An empty table; `name` also names its CSV file.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    pub fn push(&mut self, label: &str, values: &[f64]) {
        self.rows.push((label.to_owned(), values.to_vec()));
    }

    /// The values of `column` in row order.
    ///
    /// # Panics
    ///
    /// If there is no such column.
    pub fn column(&self, column: &str) -> Vec<f64> {
        let found = self.columns.iter().position(|name| name == column);
        let index = found.expect("the table has this column");
        self.rows.iter().map(|(_, values)| values[index]).collect()
    }

    /// Prints the table.
    pub fn print(&self) {
        println!("\n== {}", self.name);
        print!("{:>24}", "");
        for column in &self.columns {
            print!(" {column:>15}");
        }
        println!();
        for (label, values) in &self.rows {
            print!("{label:>24}");
            for value in values {
                print!(" {:>15}", format_value(*value));
            }
            println!();
        }
    }

    /// Prints and returns the line fitted to `column` over `x`.
    pub fn print_fit(&self, x: &str, column: &str) -> Line {
        let values = self.column(column);
        let points: Vec<(f64, f64)> = self.column(x).into_iter().zip(values).collect();
        let line = Line::new(&points);
        println!("   {column} over {x}: {line}");
        line
    }

    /// Writes the table as CSV to `folder`, if one is given.
    ///
    /// # Errors
    ///
    /// If the folder or the file cannot be written.
    pub fn save(&self, folder: Option<&Path>) -> io::Result<()> {
        let Some(folder) = folder else {
            return Ok(());
        };
        fs::create_dir_all(folder)?;
        let mut text = format!("label,{}\n", self.columns.join(","));
        for (label, values) in &self.rows {
            let values: Vec<String> = values.iter().map(f64::to_string).collect();
            text = format!("{text}{label},{}\n", values.join(","));
        }
        fs::write(folder.join(format!("{}.csv", self.name)), text)
    }
}

/// Formats large values without decimals and small ones with up to five.
fn format_value(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 || size == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}
