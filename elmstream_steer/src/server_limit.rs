//! The limit that a backend server in need names in its answers.

/// Requests a second that a backend server takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Reads a decimal number; none if it is not one, or below 0.
    pub fn parse(text: &str) -> Option<PerSecond> {
        let number: f64 = text.trim().parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(PerSecond(number))
    }

    /// The number.
    pub fn value(self) -> f64 {
        self.0
    }
}
