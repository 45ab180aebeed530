//! Least-squares fits of a line and a power law, with their goodness of fit.

/// `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at x = 0.
    pub base: f64,
    /// Increase per unit of x.
    pub slope: f64,
    /// Coefficient of determination (R^2).
    pub r2: f64,
}

/// `factor * x ^ exponent`, fitted on logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Power {
    /// Value at x = 1.
    pub factor: f64,
    /// Exponent; 1 means proportional growth.
    pub exponent: f64,
    /// Coefficient of determination (R^2) of the logarithms.
    pub r2: f64,
}

/// Fits a line. Returns `None` for fewer than three points or if all have the same x.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let many = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / many;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let across = sum(&|p| (p.0 - x).powi(2));
    if points.len() < 3 || across <= 0.0 {
        return None;
    }
    let slope = sum(&|p| (p.0 - x) * (p.1 - y)) / across;
    let base = y - slope * x;
    let (left, all) = (sum(&|p| (p.1 - base - slope * p.0).powi(2)), sum(&|p| (p.1 - y).powi(2)));
    // A horizontal line fits constant values exactly.
    let r2 = if all > 0.0 { 1.0 - left / all } else { 1.0 };
    Some(Line { base, slope, r2 })
}

/// Fits a power law to the points above 0. Returns `None` for fewer than three such points.
pub fn power(points: &[(f64, f64)]) -> Option<Power> {
    let above = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
    let logs: Vec<(f64, f64)> = above.map(|(x, y)| (x.ln(), y.ln())).collect();
    line(&logs).map(|l| Power { factor: l.base.exp(), exponent: l.slope, r2: l.r2 })
}

/// Describes the goodness of a fit in a word. Without proportional growth, a small R^2 only means that nothing grows.
pub fn word(r2: f64) -> &'static str {
    match r2 {
        r2 if r2 >= 0.98 => "well",
        r2 if r2 >= 0.9 => "roughly",
        _ => "badly",
    }
}
