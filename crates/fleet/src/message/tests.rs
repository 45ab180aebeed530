//! Tests of the parent module.

use super::*;

fn pong() -> Message {
    let head = Head { author: "a".repeat(MOST_AUTHOR), ..Head::default() };
    Message::Pong(Pong {
        seq: u64::MAX,
        token: u64::MAX,
        current: Some(head.clone()),
        proposal: Some(head),
        effective_in: Some(u64::MAX),
    })
}

#[test]
fn the_longest_messages_fit_and_come_whole() {
    let seal = Seal::new("secret");
    let reason = Verdict::Vetoed("r".repeat(MOST_REASON));
    let most = Id { epoch: u64::MAX, number: u64::MAX };
    let ping = Ping {
        life: u64::MAX,
        seq: u64::MAX,
        answered: u64::MAX,
        token: u64::MAX,
        holds: most,
        staged: Some((most, reason)),
    };
    let digest = Digest([255; 32]);
    let piece = Message::Piece { digest, from: u32::MAX, bytes: vec![255; PIECE] };
    for message in [pong(), Message::Ping(ping), piece, Message::Want { digest, from: 0 }] {
        let frame = seal.frame(Peer(u16::MAX), Peer(2), &message);
        assert!(frame.len() <= MOST_FRAME, "{} bytes: {message:?}", frame.len());
        assert_eq!(seal.read(Peer(2), &frame), Ok((Peer(u16::MAX), message)));
    }
}

#[test]
fn strangers_and_changed_frames_are_dropped() {
    let (seal, other) = (Seal::new("secret"), Seal::new("another"));
    let frame = seal.frame(Peer(1), Peer(2), &pong());
    assert_eq!(other.read(Peer(2), &frame), Err(Dropped::Key));
    assert_eq!(seal.read(Peer(3), &frame), Err(Dropped::Form), "meant for another limiter");
    for i in 0..frame.len() {
        let mut changed = frame.clone();
        changed[i] ^= 1;
        assert!(seal.read(Peer(2), &changed).is_err(), "byte {i}");
    }
    for len in 0..frame.len() {
        assert!(seal.read(Peer(2), &frame[..len]).is_err(), "{len} bytes");
    }
}
