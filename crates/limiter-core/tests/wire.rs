//! Tests the adapter protocol with valid frames and with each kind of malformed frame.

use oatbank_limiter_core::wire::{parse_settings, Host};

const SETTINGS: &str = "classes.count=1\nclasses.0.deadline=1500.0\nclasses.0.goal_time=500.0\n\
    classes.0.idempotency=free\nplans.count=1\nplans.0.rate=5.0\nplans.0.store_size=10.0\nbalancers=3\n\
    family_info.shared_counter=true\nfuture.key=whatever\n";

fn record(code: u16, instance: u32, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut r = vec![0u8; 48];
    r[..2].copy_from_slice(&code.to_le_bytes());
    r[2..6].copy_from_slice(&instance.to_le_bytes());
    for (at, bytes) in fields {
        r[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    r
}

fn frame(now: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut f = ((16 + body.len() + tail.len()) as u32).to_le_bytes().to_vec();
    f.extend((records.len() as u32).to_le_bytes());
    f.extend(now.to_le_bytes());
    f.extend(body);
    f.extend(tail);
    f
}

fn start(instance: u32, text: &str) -> Vec<u8> {
    let provision =
        record(1040, instance, &[(6, &7u64.to_le_bytes()), (18, &(text.len() as u32).to_le_bytes())]);
    let mut entry = 1f32.to_le_bytes().to_vec();
    entry.extend(1u32.to_le_bytes());
    entry.extend([0u8; 13]);
    entry.extend([1]);
    assert_eq!(entry.len(), 22);
    let at = (text.len() as u32).to_le_bytes();
    let list = record(1080, instance, &[(6, &[2]), (11, &at), (15, &1u32.to_le_bytes())]);
    frame(1000.0, &[provision, list], &[text.as_bytes(), &entry].concat())
}

fn ask(instance: u32, id: u32) -> Vec<u8> {
    record(
        1010,
        instance,
        &[
            (6, &id.to_le_bytes()),
            (16, &2f32.to_le_bytes()),
            (20, &1500f64.to_le_bytes()),
            (30, &1f32.to_le_bytes()),
        ],
    )
}

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = Host::default().run(input, &mut output).map_err(|e| e.to_string());
    (result, output)
}

fn fails(input: &[u8], word: &str) {
    let (result, output) = run(input);
    let error = result.expect_err("malformed input is rejected");
    assert!(error.contains(word) && !error.contains('\n'), "{error}");
    assert!(output.is_empty(), "no reply is written for malformed input");
}

#[test]
fn an_empty_frame_and_empty_input_are_accepted() {
    let (result, output) = run(&frame(5.0, &[], &[]));
    assert!(result.is_ok());
    assert_eq!(output, [0, 0, 0, 0, 8, 0, 0, 0]);
    assert!(run(&[]).0.is_ok());
}

#[test]
fn a_request_is_sent_to_the_listed_server() {
    let mut input = start(3, SETTINGS);
    input.extend(frame(1001.0, &[ask(3, 9)], &[]));
    let (result, output) = run(&input);
    assert!(result.is_ok());
    assert!(output.windows(6).any(|w| w == [0xe8, 3, 3, 0, 0, 0]));
}

#[test]
fn malformed_frames_are_rejected_without_a_reply() {
    fails(&[16, 0], "cut short");
    fails(&frame(0.0, &[], &[])[..12], "cut short");
    fails(&[3, 0, 0, 0], "shorter than a header");
    fails(&u32::MAX.to_le_bytes(), "cut short");
    let mut count = frame(0.0, &[], &[]);
    count[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    fails(&count, "do not fit");
    fails(&frame(f64::NAN, &[], &[]), "not finite");
    fails(&frame(0.0, &[record(7, 1, &[])], &[]), "never provisioned");
    let far = record(1040, 1, &[(14, &9u32.to_le_bytes()), (18, &9u32.to_le_bytes())]);
    fails(&frame(0.0, &[far], b"short"), "past the tail");
}

#[test]
fn invalid_events_and_settings_are_rejected_with_a_reason() {
    let after = |second: Vec<u8>| {
        let mut input = start(1, SETTINGS);
        input.extend(frame(1001.0, &[second], &[]));
        run(&input).0.expect_err("accepted").clone()
    };
    assert!(after(record(7, 1, &[])).contains("unknown event code 7"));
    assert!(after(record(1030, 1, &[(26, &[99])])).contains("unknown outcome"));
    assert!(after(record(1010, 1, &[(20, &f64::INFINITY.to_le_bytes())])).contains("not finite"));
    assert!(parse_settings("").is_err());
    assert!(parse_settings("classes.count=4000000000").is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "inf")).is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "soon")).is_err());
    assert!(parse_settings(SETTINGS).is_ok());
}

#[test]
fn an_instance_replies_the_same_alone_and_beside_others() {
    // An instance replies with the same bytes alone and beside another instance.
    let script = |instance: u32| {
        let mut input = start(instance, SETTINGS);
        for i in 0..40 {
            input.extend(frame(1001.0 + f64::from(i) * 9.0, &[ask(instance, i as u32)], &[]));
        }
        input
    };
    let (one, two) = (run(&script(1)).1, run(&script(2)).1);
    let mut host = Host::default();
    let mut together: [Vec<u8>; 2] = Default::default();
    for instance in [1u32, 2] {
        together[instance as usize - 1].extend(host.answer(&start(instance, SETTINGS)).unwrap());
    }
    for i in 0..40 {
        for instance in [1u32, 2] {
            let f = frame(1001.0 + f64::from(i) * 9.0, &[ask(instance, i as u32)], &[]);
            together[instance as usize - 1].extend(host.answer(&f).unwrap());
        }
    }
    assert_eq!([one, two], together);
}
