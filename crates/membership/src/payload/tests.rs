//! Tests of the parent module.

use super::*;

#[test]
fn both_published_forms_are_read() {
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
fn a_status_that_wants_nothing_new_is_a_drain_whichever_field_says_so() {
    for text in [
        r#"{"serviceEndpoint":{"host":"::1","port":9},"status":"STOPPING"}"#,
        r#"{"serviceEndpoint":{"host":"::1","port":9},"status":"ALIVE","metadata":{"status":"stopping"}}"#,
        r#"{"address":"::1","port":9,"payload":{"status":"STOPPED"}}"#,
    ] {
        assert_eq!(read("x", text.as_bytes()).expect("a member").0.state, ServerState::Draining, "{text}");
    }
}

#[test]
fn hostile_payloads_are_left_out_with_their_reason() {
    let long = vec![b' '; 1 << 20];
    assert_eq!(read("x", &long), Err(Reason::TooLong(1 << 20)));
    let deep = "[".repeat(10_000);
    for (text, says) in [
        ("", "JSON"),
        ("null", "no object"),
        ("\u{0}\u{1}", "JSON"),
        (deep.as_str(), "JSON"),
        ("{}", "none is named"),
        (r#"{"address":"10.0.0.1"}"#, "port"),
        (r#"{"address":"10.0.0.1","port":0}"#, "port"),
        (r#"{"address":"10.0.0.1","port":65536}"#, "port"),
        (r#"{"address":"10.0.0.1","port":"80"}"#, "port"),
        (r#"{"address":"engine.internal","port":80}"#, "no IP address"),
        (r#"{"address":"0.0.0.0","port":80}"#, "no server's"),
        (r#"{"address":7,"port":80}"#, "none is named"),
        (r#"{"id":"a b","address":"10.0.0.1","port":80}"#, "name"),
        (r#"{"id":7,"address":"10.0.0.1","port":80}"#, "name"),
        (r#"{"address":"10.0.0.1","port":80,"payload":"x"}"#, "payload"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"weight":-1}}"#, "weight"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"weight":"NaN"}}"#, "weight"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"cell":70000}}"#, "cell"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"zone":["a"]}}"#, "zone"),
        (r#"{"address":"10.0.0.1","port":80,"payload":{"status":"ODD"}}"#, "status"),
        (r#"{"serviceEndpoint":7,"status":"ALIVE"}"#, "none is named"),
    ] {
        let reason = read("x", text.as_bytes()).expect_err(says).to_string();
        assert!(reason.contains(says), "{text}: {reason}");
    }
    for name in ["", "a b", "\u{e9}", "x\n", &"x".repeat(129)] {
        let fine = br#"{"address":"10.0.0.1","port":80}"#;
        assert_eq!(read(name, fine), Err(Reason::Name), "{name:?}");
    }
}
