//! Tests of the peer protocol's decoder with malformed, random and mutated bytes.

use arbutusshelf::{
    peer::{
        frame::{
            Decoder, DrainNotice, Frame, FrameError, Heartbeat, Hello, LoadCount, Loads,
            MAX_SMALL_FRAME_BYTES, PROTOCOL_VERSION, PathEntry, RateLimitEntry, RoutingRowPatch, StoreRow,
            StoreRows, StoreState, StoreSubscription, SuspectEntry, encode, encode_raw,
        },
        patch::{Digest, Patch},
    },
    store_position::StoreEra,
    units::RunId,
};
use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};

fn hello() -> Frame {
    Frame::Hello(Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: "kremsau-01".parse().expect("a name"),
        run_id: RunId::from(u64::MAX),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address: "127.0.0.1:8082".parse().expect("an address"),
    })
}

fn sample_frames() -> Vec<Frame> {
    let counts = vec![LoadCount { skipped: 0, in_flight: 3 }, LoadCount { skipped: 400, in_flight: 1_000 }];
    vec![
        hello(),
        Frame::Heartbeat(Heartbeat { number: 1, confirmed_age_ms: Some(70), ..Heartbeat::default() }),
        Frame::PlanRequest(7.into()),
        Frame::Plan(Bytes::from_static(b"{}")),
        Frame::Loads(Loads { plan_version: 7.into(), sent_at_us: 1 << 40, counts }),
        Frame::DrainNotice(DrainNotice { target: "a-01".parse().expect("a name"), after_return_unix_s: 5 }),
        Frame::StoreSubscription(StoreSubscription {
            protocol_version: PROTOCOL_VERSION,
            instance: "kremsau-02".parse().expect("a name"),
            routing: Some(7),
            targets: None,
            wants_rows: true,
            instances: vec!["kremsau-02".parse().expect("a name")],
        }),
        Frame::KnownInstances(vec!["kremsau-01".parse().expect("a name")]),
        Frame::StoreState(StoreState {
            confirmed_age_ms: Some(40),
            is_store_lost: true,
            distance: 1,
            instances: 13,
        }),
        Frame::StoreRows(StoreRows {
            of_targets: true,
            is_all: false,
            version: 9,
            must_read: false,
            rows: vec![
                StoreRow { key: "a-01".to_owned(), version: 9, value: Some(Bytes::from_static(b"{}")) },
                StoreRow { key: "a-02".to_owned(), version: 8, value: None },
            ],
        }),
        Frame::StoreEra(StoreEra::from(3)),
        Frame::StoreAnsweredFor(1_200),
        Frame::RoutingUnreadFor(Some(900)),
        Frame::KnownRouting(Some(Digest::of(b"{}"))),
        Frame::RoutingRowPatch(RoutingRowPatch {
            is_all: true,
            version: 9,
            key: "a-01".to_owned(),
            row_version: 8,
            patch: Patch::new(None, &Bytes::from_static(b"{}"), Digest::of(b"{}")).expect("a patch"),
        }),
        Frame::RateLimits(vec![RateLimitEntry {
            target: "a-01".parse().expect("a name"),
            started_unix_ms: Some(1_780_000_000_000),
            limit_micros_per_s: Some(1_200_000),
            version: 3,
            phase_micros: None,
        }]),
        Frame::IdentityKey([7; 16]),
        Frame::Suspects(vec![SuspectEntry {
            digest: (u128::MAX - 1).into(),
            generation: 1,
            ends: 2,
            age_ms: 40,
        }]),
        Frame::Paths(vec![PathEntry {
            instance: "kremsau-01".parse().expect("a name"),
            started_unix_ms: 1_780_000_000_000,
            version: 4,
            address: "127.0.0.1:7620".parse().expect("an address"),
            is_accepting: true,
            closed: vec!["plan".parse().expect("a name")],
        }]),
    ]
}

fn decode_all(bytes: &[u8], chunk: usize) -> Result<Vec<Frame>, FrameError> {
    let mut decoder = Decoder::default();
    let mut frames = Vec::new();
    for part in bytes.chunks(chunk.max(1)) {
        decoder.push(part);
        while let Some(frame) = decoder.next_frame()? {
            frames.push(frame);
        }
    }
    Ok(frames)
}

#[test]
fn frames_survive_any_cutting_into_chunks() {
    let sent = sample_frames();
    let bytes = sent.iter().flat_map(|f| encode(f).to_vec()).collect::<Vec<_>>();
    for chunk in [1, 2, 3, 5, 7, 64, bytes.len()] {
        assert_eq!(decode_all(&bytes, chunk).as_ref(), Ok(&sent), "chunks of {chunk}");
    }
}

/// A new type of frame must be added to the samples, too; the match fails to compile without it.
#[test]
fn the_samples_have_each_type_of_frame() {
    let number = |frame: &Frame| match frame {
        Frame::Hello(_) => 0,
        Frame::Heartbeat(_) => 1,
        Frame::PlanRequest(_) => 2,
        Frame::Plan(_) => 3,
        Frame::Loads(_) => 4,
        Frame::DrainNotice(_) => 5,
        Frame::StoreSubscription(_) => 6,
        Frame::KnownInstances(_) => 7,
        Frame::StoreState(_) => 8,
        Frame::StoreRows(_) => 9,
        Frame::StoreEra(_) => 10,
        Frame::StoreAnsweredFor(_) => 11,
        Frame::RoutingUnreadFor(_) => 12,
        Frame::KnownRouting(_) => 13,
        Frame::RoutingRowPatch(_) => 14,
        Frame::RateLimits(_) => 15,
        Frame::IdentityKey(_) => 16,
        Frame::Suspects(_) => 17,
        Frame::Paths(_) => 18,
    };
    let mut numbers = sample_frames().iter().map(number).collect::<Vec<_>>();
    numbers.dedup();
    assert_eq!(numbers, (0..=18).collect::<Vec<_>>());
}

#[test]
fn unknown_frames_are_skipped() {
    let mut decoder = Decoder::default();
    decoder.push(&encode_raw(200, b"of a later version"));
    decoder.push(&encode(&hello()));
    assert_eq!(decoder.next_frame(), Ok(Some(hello())));
    assert_eq!(decoder.skipped(), 1);
}

#[test]
fn malformed_frames_are_named() {
    let oversized = u32::try_from(MAX_SMALL_FRAME_BYTES + 1).expect("it fits").to_be_bytes();
    let mut long_hello = encode(&hello()).to_vec();
    long_hello.push(0);
    let length = u32::try_from(long_hello.len() - 4).expect("it fits").to_be_bytes();
    long_hello[..4].copy_from_slice(&length);
    let table = [
        ("no tag", vec![0, 0, 0, 0], "frame without type tag"),
        ("too large", [&oversized[..], &[2]].concat(), "exceeds 65536"),
        ("plan too large", vec![0xff, 0xff, 0xff, 0xff, 4], "exceeds 16777216"),
        ("empty heartbeat", encode_raw(2, b"").to_vec(), "malformed frame of type 2"),
        ("bad name", encode_raw(6, &[1, b'!', 0]).to_vec(), "malformed frame of type 6"),
        ("bytes too many", long_hello, "malformed frame of type 1: 1 bytes too many"),
        (
            "list too long",
            encode_raw(5, &[1, 1, 253, 255, 255, 255, 255, 255, 255, 255, 255]).to_vec(),
            "type 5",
        ),
    ];
    for (name, bytes, expected) in table {
        let error = decode_all(&bytes, 64).expect_err(name);
        assert!(error.to_string().contains(expected), "{name}: {error}");
    }
}

/// Decodes the bytes at once and in chunks; both must give the same frames, or both must fail.
fn is_consistent(bytes: &[u8], chunk: usize) -> bool {
    let whole = decode_all(bytes, usize::MAX);
    let parts = decode_all(bytes, 1 + chunk % 16);
    match (whole, parts) {
        (Ok(whole), Ok(parts)) => whole == parts,
        (Err(_), Err(_)) => true,
        // A fault must be found at the latest when all bytes have arrived.
        (whole, parts) => panic!("{whole:?} at once, but {parts:?} in chunks"),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes bytes by value")]
fn random_bytes_are_consistent(bytes: Vec<u8>, chunk: usize) -> bool {
    is_consistent(&bytes, chunk)
}

#[test]
fn random_bytes_give_frames_or_errors() {
    let rng = Gen::from_size_and_seed(400, 11);
    QuickCheck::new()
        .rng(rng)
        .tests(2_000)
        .quickcheck(random_bytes_are_consistent as fn(Vec<u8>, usize) -> bool);
}

fn mutated_frames_are_consistent(flips: Vec<(usize, u8)>, chunk: usize) -> bool {
    let mut bytes = sample_frames().iter().flat_map(|f| encode(f).to_vec()).collect::<Vec<_>>();
    let length = bytes.len();
    for (position, flip) in flips {
        bytes[position % length] ^= flip;
    }
    is_consistent(&bytes, chunk)
}

#[test]
fn mutated_frames_give_frames_or_errors() {
    let rng = Gen::from_size_and_seed(8, 12);
    let property = mutated_frames_are_consistent as fn(Vec<(usize, u8)>, usize) -> bool;
    QuickCheck::new().rng(rng).tests(4_000).quickcheck(property);
}
