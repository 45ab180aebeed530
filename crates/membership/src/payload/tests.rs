//! Tests of the parent module.

use super::*;

#[test]
fn curator_and_finagle_payloads_are_parsed() {
    let curator = br#"{"name":"quotes","id":"e-1","address":"10.0.0.7","port":8000,"sslPort":null,
        "payload":{"zone":"a","cell":3,"weight":2.5,"started_ms":1700000000000},"registrationTimeUTC":1,
        "serviceType":"DYNAMIC","uriSpec":null}"#;
    let (member, started) = read("e-1", curator).expect("a member");
    assert_eq!((member.id.as_str(), member.zone.as_str(), member.cell), ("e-1", "a", 3));
    assert_eq!((member.weight, started), (2.5, Some(1.7e12)));
    assert_eq!(member.address.map(|a| a.to_string()).as_deref(), Some("10.0.0.7:8000"));
    let finagle = br#"{"serviceEndpoint":{"host":"::1","port":9},"additionalEndpoints":{},"status":"ALIVE",
        "shard":4,"metadata":{"zone":"b","cell":"7","weight":"0.5"}}"#;
    let (member, started) = read("member_0000000012", finagle).expect("a member");
    assert_eq!((member.id.as_str(), member.cell, member.weight), ("member_0000000012", 7, 0.5));
    assert_eq!((member.state, started), (ServerState::Ready, None));
}

#[test]
fn a_stopping_status_in_any_field_means_draining() {
    for text in [
        r#"{"serviceEndpoint":{"host":"::1","port":9},"status":"STOPPING"}"#,
        r#"{"serviceEndpoint":{"host":"::1","port":9},"status":"ALIVE","metadata":{"status":"stopping"}}"#,
        r#"{"address":"::1","port":9,"payload":{"status":"STOPPED"}}"#,
    ] {
        assert_eq!(read("x", text.as_bytes()).expect("a member").0.state, ServerState::Draining, "{text}");
    }
}

#[test]
fn invalid_payloads_are_rejected_with_their_reason() {
    let long = vec![b' '; 1 << 20];
    assert_eq!(read("x", &long), Err(Reason::TooLong(1 << 20)));
    let deep = "[".repeat(10_000);
    for (text, expected) in [
        ("", "JSON"),
        ("null", "not an object"),
        ("\u{0}\u{1}", "JSON"),
        (deep.as_str(), "JSON"),
        ("{}", "the address is missing"),
        (r#"{"address":"10.0.0.1"}"#, "port"),
        (r#"{"address":"10.0.0.1","port":0}"#, "port"),
        (r#"{"address":"10.0.0.1","port":65536}"#, "port"),
        (r#"{"address":"10.0.0.1","port":"80"}"#, "port"),
        (r#"{"address":"engine.internal","port":80}"#, "not an IP address"),
        (r#"{"address":"0.0.0.0","port":80}"#, "not a server address"),
        (r#"{"address":7,"port":80}"#, "the address is missing"),
        (r#"{"id":"a b","address":"10.0.0.1","port":80}"#, "name"),
        (r#"{"id":7,"address":"10.0.0.1","port":80}"#, "name"),
        (r#"{"address":"10.0.0.1","port":80,"payload":"x"}"#, "payload"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"weight":-1}}"#, "weight"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"weight":"NaN"}}"#, "weight"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"cell":70000}}"#, "cell"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"zone":["a"]}}"#, "zone"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"status":"ODD"}}"#, "status"),
        (r#"{"serviceEndpoint":7,"status":"ALIVE"}"#, "the address is missing"),
    ] {
        let reason = read("x", text.as_bytes()).expect_err(expected).to_string();
        assert!(reason.contains(expected), "{text}: {reason}");
    }
    for name in ["", "a b", "\u{e9}", "x\n", &"x".repeat(129)] {
        let fine = br#"{"address":"10.0.0.1","port":80}"#;
        assert_eq!(read(name, fine), Err(Reason::Name), "{name:?}");
    }
}
