//! Escaping for log lines, so that text from outside can neither end a line nor add a `key=value` pair.

use std::fmt::{self, Write};

use sha2::{Digest, Sha256};

/// Longest quoted value, in characters; the rest is cut.
const MAX_QUOTED_CHARS: usize = 200;

/// Longest message, in characters; the rest is cut.
const MAX_MESSAGE_CHARS: usize = 4_096;

/// Number of bytes of a digest that are shown: enough to tell keys apart, too few to serve as one.
const DIGEST_BYTES: usize = 6;

/// Text from outside as a log value: quoted, with all but printable ASCII escaped, cut after 200 characters.
#[derive(Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        for c in self.0.chars().take(MAX_QUOTED_CHARS) {
            write!(f, "{}", c.escape_default())?;
        }
        f.write_char('"')
    }
}

/// Idempotency key or other confidential text as a log value: shown only as the start of its SHA-256 digest.
#[derive(Debug)]
pub struct Redacted<'a>(pub &'a str);

impl fmt::Display for Redacted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        for byte in &Sha256::digest(self.0.as_bytes())[..DIGEST_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Whole message on one line: escapes control characters, line separators and marks of text direction, so
/// that neither a terminal nor a parser takes a part of it for another line.
#[derive(Debug)]
pub struct OneLine<'a>(pub &'a str);

impl fmt::Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars().take(MAX_MESSAGE_CHARS) {
            if is_plain(c) {
                f.write_char(c)?;
            } else {
                write!(f, "{}", c.escape_unicode())?;
            }
        }
        Ok(())
    }
}

/// Returns whether a character can be shown as it is: no control character, line or paragraph separator or
/// mark of text direction.
fn is_plain(c: char) -> bool {
    !c.is_control()
        && !matches!(c, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{200e}' | '\u{200f}')
}
