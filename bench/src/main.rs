//! Command line of the bench.

fn main() {}
