//! Tests of the identity of requests, by which attempts of one request are put together.

use std::net::{IpAddr, Ipv4Addr};

use arbutusshelf::{decide::suspects::RequestIdentity, gateway::identity::IdentityKey};
use hyper::{Method, Request};

const CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

struct TestRequest {
    key: u8,
    caller: Ipv4Addr,
    method: Method,
    uri: &'static str,
    body: Vec<u8>,
}

fn charge() -> TestRequest {
    let (method, uri) = (Method::POST, "http://hall.example/charge/7?part=1");
    TestRequest { key: 1, caller: CALLER, method, uri, body: b"booking 1".to_vec() }
}

fn identify(request: TestRequest) -> RequestIdentity {
    let TestRequest { key, caller, method, uri, body } = request;
    let (head, ()) = Request::builder().method(method).uri(uri).body(()).expect("a request").into_parts();
    IdentityKey::from([key; IdentityKey::BYTES]).identify(IpAddr::from(caller), &head, &body)
}

/// Returns which digests two identities have in common: exact, path, content.
fn common(one: RequestIdentity, other: RequestIdentity) -> [bool; 3] {
    [one.exact == other.exact, one.path == other.path, one.content == other.content]
}

/// Guards against a request that is refused because targets have ended under another one of its caller, and against
/// attempts of one request that are taken for different ones.
#[test]
fn requests_share_the_digests_of_what_they_have_in_common() {
    let cases = [
        ("the same", charge(), [true, true, true]),
        ("another body", TestRequest { body: b"booking 2".to_vec(), ..charge() }, [false, false, false]),
        ("no body", TestRequest { body: Vec::new(), ..charge() }, [false, false, false]),
        ("another path", TestRequest { uri: "http://hall.example/charge/8?part=1", ..charge() }, [false; 3]),
        ("another host", TestRequest { uri: "http://zoo.example/charge/7?part=1", ..charge() }, [false; 3]),
        ("another key", TestRequest { key: 2, ..charge() }, [false; 3]),
        (
            "another query",
            TestRequest { uri: "http://hall.example/charge/7?part=2", ..charge() },
            [false, true, true],
        ),
        ("another method", TestRequest { method: Method::PUT, ..charge() }, [false, true, true]),
        (
            "another caller",
            TestRequest { caller: Ipv4Addr::new(10, 0, 0, 2), ..charge() },
            [false, false, true],
        ),
    ];
    for (name, other, expected) in cases {
        assert_eq!(common(identify(charge()), identify(other)), expected, "{name}");
    }
}

/// Guards against parts that run into each other, so that another division of the same bytes has the same digest.
#[test]
fn the_end_of_the_path_is_told_from_the_start_of_the_body() {
    let one = TestRequest { uri: "http://hall.example/charge/7", body: b"8".to_vec(), ..charge() };
    let other = TestRequest { uri: "http://hall.example/charge/78", body: Vec::new(), ..charge() };
    assert_eq!(common(identify(one), identify(other)), [false; 3]);
}

/// Guards against long bodies of one request that count as different ones, because attempts are passed on from
/// different lengths on.
#[test]
fn a_long_body_is_known_by_its_start() {
    let long = TestRequest { body: vec![b'x'; 64 << 10], ..charge() };
    let longer = TestRequest { body: vec![b'x'; 80 << 10], ..charge() };
    let other = TestRequest { body: [vec![b'x'; 100], vec![b'y'; 64 << 10]].concat(), ..charge() };
    let identity = identify(long);
    assert_eq!(common(identity, identify(longer)), [true; 3]);
    assert_eq!(common(identity, identify(other)), [false; 3]);
}
