//! Placeholder.
fn main(){}
