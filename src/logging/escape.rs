//! Escapes text so that it can neither end a line nor pass for another key.

use std::fmt::{self, Write};

use sha2::{Digest, Sha256};

/// Longest text from outside in one value, in characters.
const MAX_QUOTED_CHARS: usize = 200;

/// Longest message, in characters; the rest is cut.
const MAX_MESSAGE_CHARS: usize = 4_096;

/// Bytes of a digest that are shown; enough to tell keys apart, too few to be one.
const DIGEST_BYTES: usize = 6;

/// Text from outside as a log value: quoted, control characters escaped, at most 200 characters.
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

/// A key or another secret as a log value: only a digest of it.
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

/// A whole message with everything escaped that a terminal or a reader could take for a line's end.
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

/// Control characters, line and paragraph separators and direction marks are not plain.
fn is_plain(c: char) -> bool {
    !c.is_control()
        && !matches!(c, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{200e}' | '\u{200f}')
}
