//! The arbutusshelf daemon and its command line.

fn main() {}
