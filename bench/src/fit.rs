//! Fits a least-squares line through measured points.

use std::{error::Error, fs, io, path::PathBuf};

use argh::FromArgs;
use serde::Serialize;

/// Fits a line through points, one "x y" pair per input line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fit")]
pub struct FitArgs {
    /// file with the points; standard input by default
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// A fitted line `y = intercept + slope * x`.
#[derive(Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Number of points that the line is fitted to.
    pub points: usize,
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, in the unit of y.
    pub residual: f64,
}

/// Reads the points and prints the line as JSON.
///
/// # Errors
///
/// Fails when a line is not two numbers or no line can be fitted.
pub fn run(args: &FitArgs) -> Result<bool, Box<dyn Error>> {
    let text = match &args.file {
        Some(file) => fs::read_to_string(file)?,
        None => io::read_to_string(io::stdin())?,
    };
    let mut points = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let point = parse_point(line)
            .ok_or_else(|| format!("line {}: found {line:?}, expected two numbers", index + 1))?;
        points.push(point);
    }
    let fit =
        fit(&points).ok_or("cannot fit a line: at least two points with different x are needed")?;
    println!("{}", serde_json::to_string_pretty(&fit)?);
    Ok(true)
}

fn parse_point(line: &str) -> Option<(f64, f64)> {
    let mut numbers = line.split_whitespace().map(|word| word.parse::<f64>().ok());
    let point = (numbers.next()??, numbers.next()??);
    (numbers.next().is_none() && point.0.is_finite() && point.1.is_finite()).then_some(point)
}

/// Fits a line through `points` by least squares; `None` if all have the same x or there are none.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.iter().map(|_| 1.0).sum::<f64>();
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let x_square_sum = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if points.is_empty() || x_square_sum == 0.0 {
        return None;
    }
    let xy_sum = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>();
    let slope = xy_sum / x_square_sum;
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    Some(Fit {
        points: points.len(),
        slope,
        intercept,
        residual,
    })
}
