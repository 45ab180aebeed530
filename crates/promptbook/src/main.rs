//! The program `promptbook`.

fn main() {}
