//! Tests of the parent module.

use super::*;

fn pong() -> Message {
    let head = Head { author: "a".repeat(MAX_AUTHOR_BYTES), ..Head::default() };
    Message::Pong(Pong {
        seq: u64::MAX,
        token: u64::MAX,
        current: Some(head.clone()),
        proposal: Some(head),
        effective_in: Some(u64::MAX),
    })
}

#[test]
fn longest_messages_fit_in_a_frame_and_round_trip() {
    let codec = FrameCodec::new("secret");
    let reason = Verdict::Vetoed("r".repeat(MAX_REASON_BYTES));
    let most = Id { epoch: u64::MAX, number: u64::MAX };
    let ping = Ping {
        process_id: u64::MAX,
        seq: u64::MAX,
        answered: u64::MAX,
        token: u64::MAX,
        holds: most,
        staged: Some((most, reason)),
    };
    let digest = Digest([255; 32]);
    let chunk = Message::Chunk { digest, from: u32::MAX, bytes: vec![255; CHUNK_BYTES] };
    for message in [pong(), Message::Ping(ping), chunk, Message::ChunkRequest { digest, from: 0 }] {
        let frame = codec.frame(Peer(u16::MAX), Peer(2), &message);
        assert!(frame.len() <= MAX_FRAME_BYTES, "{} bytes: {message:?}", frame.len());
        assert_eq!(codec.read(Peer(2), &frame), Ok((Peer(u16::MAX), message)));
    }
}

#[test]
fn frames_with_another_key_or_altered_bytes_are_dropped() {
    let (codec, other) = (FrameCodec::new("secret"), FrameCodec::new("another"));
    let frame = codec.frame(Peer(1), Peer(2), &pong());
    assert_eq!(other.read(Peer(2), &frame), Err(FrameError::Key));
    assert_eq!(codec.read(Peer(3), &frame), Err(FrameError::Malformed), "addressed to another limiter");
    for i in 0..frame.len() {
        let mut changed = frame.clone();
        changed[i] ^= 1;
        assert!(codec.read(Peer(2), &changed).is_err(), "byte {i}");
    }
    for len in 0..frame.len() {
        assert!(codec.read(Peer(2), &frame[..len]).is_err(), "{len} bytes");
    }
}
