//! Errors of parsing and validating a sheet.

use std::fmt;

/// Result of parsing or validating a sheet.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The text is not valid JSON.
    Syntax,
    /// The JSON does not match the data model of a sheet.
    Data,
    /// The sheet matches the data model, but its content is inconsistent or out of
    /// range.
    Content,
}

/// One problem of a sheet and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path, such as `services.mapview.kinds[0].path`; empty for parse errors.
    pub path: String,
    /// Description of the problem, in lower case.
    pub message: String,
}

/// Error of parsing or validating a sheet, with every problem found.
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

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the line, counted from 1; 0 if the error has no single position.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the column, counted from 1; 0 if the error has no single position.
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
