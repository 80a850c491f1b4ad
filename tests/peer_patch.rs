//! Patches give the value that they were made of, or an error.

use std::io::Write;

use arbutusshelf::peer::patch::{Digest, MAX_VALUE_BYTES, Patch, PatchError};
use bytes::Bytes;
use flate2::{Compression, write::DeflateEncoder};
use quickcheck::{TestResult, quickcheck};
use serde::Serialize;
use serde_json::json;

type Base = (Bytes, Digest);

fn base(value: &Bytes) -> Base {
    (value.clone(), Digest::of(value))
}

fn patch(base: Option<&Base>, value: &Bytes) -> Patch {
    Patch::new(base, value, Digest::of(value)).expect("the value is small enough")
}

/// Returns a routing table with the given version and the numbers of its routes.
fn table(version: u32, routes: impl IntoIterator<Item = u32>) -> Bytes {
    let route = |number| {
        json!({
            "resourceKind": "routes",
            "metadata": {"name": format!("r-{number}")},
            "spec": {"prefix": format!("/r-{number}/"), "service": "plan", "timeoutS": 2.0, "maxAttempts": 3,
                "backends": [{"service": "plan", "weight": 1}]}
        })
    };
    let resources = routes.into_iter().map(route).collect::<Vec<_>>();
    json!({"manifestVersion": version, "resources": resources}).to_string().into()
}

/// Parts and sizes that a faulty or hostile sender could state; encoded as a patch is.
#[derive(Serialize)]
enum ForgedPart {
    Base { start: u64, length: u64 },
    New(Bytes),
}

#[derive(Serialize)]
struct ForgedPatch {
    base: Option<Digest>,
    digest: Digest,
    value_bytes: u32,
    parts: Bytes,
}

fn deflate(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(bytes).expect("writing to memory succeeds");
    encoder.finish().expect("writing to memory succeeds").into()
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("it can be encoded")
}

/// Returns what a receiver decodes from a forged patch.
fn forged(base: Option<&Base>, value: &[u8], value_bytes: u32, parts: Bytes) -> Patch {
    let forged =
        ForgedPatch { base: base.map(|(_, digest)| *digest), digest: Digest::of(value), value_bytes, parts };
    let config = bincode::config::standard();
    bincode::serde::decode_from_slice(&encoded(&forged), config).expect("it has the form of a patch").0
}

quickcheck! {
    // Guards against a receiver that puts together another value than the sender's.
    fn any_value_survives(before: Vec<u8>, after: Vec<u8>) -> bool {
        let (before, after) = (base(&before.into()), Bytes::from(after));
        let from_base = patch(Some(&before), &after).apply(Some(&before));
        from_base == Ok(after.clone()) && patch(None, &after).apply(None) == Ok(after)
    }

    // The same for tables whose routes are added, removed and moved.
    fn any_change_of_routes_survives(before: Vec<u8>, after: Vec<u8>) -> bool {
        let numbers = |routes: &[u8]| routes.iter().map(|n| u32::from(*n)).collect::<Vec<_>>();
        let (before, after) = (base(&table(1, numbers(&before))), table(2, numbers(&after)));
        patch(Some(&before), &after).apply(Some(&before)) == Ok(after)
    }

    // Guards against a panic, or a value that is not what was sent, when a patch is damaged on its way.
    fn a_damaged_patch_gives_the_value_or_an_error(at: usize, bits: u8) -> TestResult {
        let (before, after) = (base(&table(1, 0..20)), table(2, 1..25));
        let mut bytes = encoded(&patch(Some(&before), &after));
        let at = at % bytes.len();
        bytes[at] ^= bits;
        let config = bincode::config::standard().with_limit::<MAX_VALUE_BYTES>();
        match bincode::serde::decode_from_slice::<Patch, _>(&bytes, config) {
            Ok((patch, _)) => TestResult::from_bool(patch.apply(Some(&before)).is_ok_and(|v| v == after)
                || patch.apply(Some(&before)).is_err()),
            Err(_) => TestResult::discard(),
        }
    }
}

// Guards against links that are filled by routing tables of which little has changed.
#[test]
fn the_size_of_a_patch_grows_with_the_change() {
    let before = base(&table(1, 0..1_480));
    let (all, one, all_later) = (0..1_480, (0..700).chain(5_000..5_001).chain(700..1_480), 1..1_481);
    let sizes = [
        ("the version", patch(Some(&before), &table(2, all)).compressed_bytes(), 150),
        ("a route in the middle", patch(Some(&before), &table(2, one)).compressed_bytes(), 400),
        (
            "the first route gone, one at the end",
            patch(Some(&before), &table(2, all_later)).compressed_bytes(),
            400,
        ),
        ("without a base", patch(None, &before.0).compressed_bytes(), 30_000),
    ];
    for (change, found_bytes, allowed_bytes) in sizes {
        assert!(found_bytes < allowed_bytes, "{change}: {found_bytes} bytes, {allowed_bytes} allowed");
    }
}

// Guards against changes that are applied to another table than the sender's.
#[test]
fn another_base_is_refused() {
    let (before, other, after) = (base(&table(1, 0..9)), base(&table(3, 0..9)), table(2, 0..9));
    let patch = patch(Some(&before), &after);
    for wrong in [None, Some(&other)] {
        assert_eq!(patch.apply(wrong), Err(PatchError::OtherBase { wanted: before.1 }));
    }
}

// Guards against an instance whose memory a few bytes of a peer fill.
#[test]
fn a_body_that_swells_is_refused() {
    let swelling = deflate(&vec![0; 16 << 20]);
    assert!(swelling.len() < 100 << 10);
    let refused = forged(None, b"", 0, swelling).apply(None);
    assert!(matches!(refused, Err(PatchError::Malformed { .. })), "{refused:?}");
    // Many copies of a small base.
    let small = base(&Bytes::from(vec![7; 1 << 20]));
    let copies = (0..1_000).map(|_| ForgedPart::Base { start: 0, length: 1 << 20 }).collect::<Vec<_>>();
    let refused = forged(Some(&small), b"", 10, deflate(&encoded(&copies))).apply(Some(&small));
    assert!(matches!(refused, Err(PatchError::Malformed { .. })), "{refused:?}");
    let stated = forged(None, b"", u32::MAX, deflate(&encoded(&Vec::<ForgedPart>::new()))).apply(None);
    assert!(matches!(stated, Err(PatchError::TooLarge { .. })), "{stated:?}");
}

// Guards against values that are taken although the patch is not what it says.
#[test]
fn a_patch_that_is_not_what_it_says_is_refused() {
    let before = base(&table(1, 0..9));
    let outside = [(u64::MAX, 2), (0, u64::MAX), (before.0.len() as u64, 1), (1, before.0.len() as u64)];
    for (start, length) in outside {
        let parts = deflate(&encoded(&vec![ForgedPart::Base { start, length }]));
        let refused = forged(Some(&before), b"", 10, parts).apply(Some(&before));
        assert!(matches!(refused, Err(PatchError::Malformed { .. })), "{start}, {length}: {refused:?}");
    }
    let parts = || deflate(&encoded(&vec![ForgedPart::New(Bytes::from_static(b"one"))]));
    for (value, value_bytes) in [(b"two", 3), (b"one", 2), (b"one", 4)] {
        let refused = forged(None, value, value_bytes, parts()).apply(None);
        assert!(refused.is_err(), "{value:?}, {value_bytes}: {refused:?}");
    }
    assert_eq!(forged(None, b"one", 3, parts()).apply(None), Ok(Bytes::from_static(b"one")));
    // Cut at each byte.
    let after = table(2, 3..20);
    let whole = patch(Some(&before), &after);
    let parts = encoded(&whole);
    for length in 0..parts.len() {
        let config = bincode::config::standard();
        let cut = bincode::serde::decode_from_slice::<Patch, _>(&parts[..length], config);
        assert!(cut.is_err(), "{length} bytes");
    }
}
