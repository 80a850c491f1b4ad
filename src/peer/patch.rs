//! Values described as changes of an earlier one, compressed.
//!
//! A routing table of a megabyte differs from the one before in a few hundred bytes, and most of what it repeats
//! can be compressed. The receiver checks the size and the digest of what it puts together.

use std::{
    hash::Hasher,
    io::{Read, Write},
};

use bytes::Bytes;
use derive_more::Display;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::collections::HashMap;

/// Largest value that can be described, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// Largest size of the parts of a value before they are compressed. Each part of the value adds a few bytes.
const MAX_PARTS_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Byte after which a value is cut into pieces: the end of an object in JSON text.
const PIECE_END: u8 = b'}';

/// Shortest piece that is looked for in the base; a shorter one takes less than the part that would name it.
const MIN_PIECE_BYTES: usize = 16;

/// Identifies the content of a value.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct Digest(u128);

impl Digest {
    /// Returns the digest of a value.
    pub fn of(value: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(value);
        Self(hasher.finish128().as_u128())
    }
}

/// A value as parts of a base and new bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Digest of the base; `None` if the patch needs none.
    pub base: Option<Digest>,
    /// Digest of the value.
    pub digest: Digest,
    /// Size of the value in bytes.
    pub value_bytes: u32,
    /// The parts, encoded by bincode and compressed by deflate.
    parts: Bytes,
}

/// Part of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Bytes of the base.
    Base { start: usize, length: usize },
    /// Bytes that the base does not have.
    New(Bytes),
}

/// Why a patch can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The receiver does not have the base.
    #[error("patch of {wanted}, which is not what was received last")]
    OtherBase {
        /// Digest of the base.
        wanted: Digest,
    },
    /// The value is too large.
    #[error("patch with a value of {value_bytes} bytes")]
    TooLarge {
        /// Size that the patch states.
        value_bytes: u32,
    },
    /// The parts can't be decoded, or swell beyond what a value can have.
    #[error("malformed patch: {reason}")]
    Malformed {
        /// Why decoding failed.
        reason: String,
    },
    /// The parts give another value than stated.
    #[error("patch gives {found_bytes} bytes that are not the {value_bytes} bytes of {digest}")]
    OtherValue {
        /// Size of what the parts give.
        found_bytes: usize,
        /// Size that the patch states.
        value_bytes: u32,
        /// Digest that the patch states.
        digest: Digest,
    },
}

impl Patch {
    /// Describes `value`, whose digest is `digest`, by what it has in common with `base`. Returns `None` if the value
    /// is too large.
    pub fn new(base: Option<&(Bytes, Digest)>, value: &Bytes, digest: Digest) -> Option<Self> {
        if value.len() > MAX_VALUE_BYTES {
            return None;
        }
        let parts = match base {
            Some((base, _)) if base.len() <= MAX_VALUE_BYTES => parts_of(base, value),
            _ => vec![Part::New(value.clone())],
        };
        let parts = bincode::serde::encode_to_vec(parts, bincode::config::standard()).ok()?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&parts).ok()?;
        let parts = encoder.finish().ok()?.into();
        Some(Self {
            base: base.map(|(_, digest)| *digest),
            digest,
            value_bytes: u32::try_from(value.len()).ok()?,
            parts,
        })
    }

    /// Returns the size of the compressed parts in bytes.
    pub fn compressed_bytes(&self) -> usize {
        self.parts.len()
    }

    /// Returns the value.
    ///
    /// # Errors
    ///
    /// [`PatchError`] if `base` is not what the patch needs, or the patch is not what it says.
    pub fn apply(&self, base: Option<&(Bytes, Digest)>) -> Result<Bytes, PatchError> {
        let base = match (self.base, base) {
            (None, _) => &[],
            (Some(wanted), Some((base, digest))) if wanted == *digest => base.as_ref(),
            (Some(wanted), _) => return Err(PatchError::OtherBase { wanted }),
        };
        let value_bytes = self.value_bytes as usize;
        if value_bytes > MAX_VALUE_BYTES {
            return Err(PatchError::TooLarge { value_bytes: self.value_bytes });
        }
        let mut value = Vec::with_capacity(value_bytes);
        for part in self.decode_parts()? {
            let bytes = match &part {
                Part::Base { start, length } => {
                    start.checked_add(*length).and_then(|end| base.get(*start..end))
                }
                Part::New(bytes) => Some(bytes.as_ref()),
            };
            match bytes {
                Some(bytes) if value.len() + bytes.len() <= value_bytes => value.extend_from_slice(bytes),
                _ => return Err(malformed(&"a part outside of the value or of the base")),
            }
        }
        if value.len() != value_bytes || Digest::of(&value) != self.digest {
            return Err(PatchError::OtherValue {
                found_bytes: value.len(),
                value_bytes: self.value_bytes,
                digest: self.digest,
            });
        }
        Ok(value.into())
    }

    fn decode_parts(&self) -> Result<Vec<Part>, PatchError> {
        let mut parts = Vec::new();
        let limit = MAX_PARTS_BYTES as u64 + 1;
        let read = DeflateDecoder::new(self.parts.as_ref()).take(limit).read_to_end(&mut parts);
        read.map_err(|e| malformed(&e))?;
        if parts.len() > MAX_PARTS_BYTES {
            return Err(malformed(&"too many bytes"));
        }
        let config = bincode::config::standard().with_limit::<MAX_PARTS_BYTES>();
        match bincode::serde::decode_from_slice(&parts, config) {
            Ok((decoded, read)) if read == parts.len() => Ok(decoded),
            Ok((_, read)) => Err(malformed(&format!("{} bytes too many", parts.len() - read))),
            Err(e) => Err(malformed(&e)),
        }
    }
}

fn malformed(reason: &impl ToString) -> PatchError {
    PatchError::Malformed { reason: reason.to_string() }
}

/// Describes `value` as parts of `base` and new bytes. Takes time proportional to their sizes.
fn parts_of(base: &Bytes, value: &Bytes) -> Vec<Part> {
    let mut starts = HashMap::default();
    let mut at = 0;
    for piece in pieces(base) {
        if piece.len() >= MIN_PIECE_BYTES {
            starts.entry(piece).or_insert(at);
        }
        at += piece.len();
    }
    let mut parts = Vec::new();
    let mut at = 0;
    for piece in pieces(value) {
        let end = at + piece.len();
        match (parts.last_mut(), starts.get(piece)) {
            (Some(Part::Base { start, length }), _) if base[*start + *length..].starts_with(piece) => {
                *length += piece.len();
            }
            (_, Some(&start)) => parts.push(Part::Base { start, length: piece.len() }),
            (Some(Part::New(bytes)), None) => *bytes = value.slice(at - bytes.len()..end),
            (_, None) => parts.push(Part::New(value.slice(at..end))),
        }
        at = end;
    }
    parts
}

fn pieces(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(|byte| *byte == PIECE_END)
}
