//! Why a sheet was not accepted.

use std::fmt;

/// Result of parsing or validating a sheet.
pub type Result<T> = std::result::Result<T, Error>;

/// Kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The text is not JSON.
    Syntax,
    /// The JSON does not have the shape of a sheet.
    Data,
    /// The sheet is well formed and its content is contradictory or out of range.
    Content,
}

/// One thing wrong with a sheet, at its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path, such as `services.mapview.kinds[0].path`.
    pub path: String,
    /// What is wrong, lower-case.
    pub message: String,
}

/// A sheet that can't be accepted, with every problem found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    category: Category,
    line: usize,
    column: usize,
    problems: Vec<Problem>,
}

impl Error {
    pub(crate) fn content(problems: Vec<Problem>) -> Self {
        Self {
            category: Category::Content,
            line: 0,
            column: 0,
            problems,
        }
    }

    /// Returns the kind of failure.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the line, counted from 1; 0 when the failure is not at one place.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the column, counted from 1; 0 when the failure is not at one place.
    pub fn column(&self) -> usize {
        self.column
    }

    /// Returns every problem found.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        let category = if error.is_data() {
            Category::Data
        } else {
            Category::Syntax
        };
        Self {
            category,
            line: error.line(),
            column: error.column(),
            problems: vec![Problem {
                path: String::new(),
                message: error.to_string(),
            }],
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
