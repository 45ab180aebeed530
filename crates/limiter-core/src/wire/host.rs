//! Hosts independent gateways and translates between protocol frames and their events and actions.

use super::frame::{Fields, Record};
use super::{parse_settings, WireError};
use crate::interface::*;
use crate::logic::Gateway;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};

/// Length of a frame header, bytes.
const HEADER_LEN: usize = 16;
/// Length of an event record, bytes.
const EVENT_LEN: usize = 48;
/// Length of a server list entry, bytes.
const ENTRY_LEN: usize = 22;

/// The gateways of one process, by instance number.
#[derive(Default)]
pub struct Host {
    gateways: HashMap<u32, Gateway>,
    actions: Vec<Action>,
}

impl Host {
    /// Answers frames until the input ends at a frame boundary.
    ///
    /// # Errors
    /// Fails on input that violates the protocol, and on read and write errors.
    pub fn run(&mut self, mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
        let io = |what: &str, e: std::io::Error| WireError(format!("{what}: {e}"));
        let mut frame = 0u64;
        let mut bytes = Vec::new();
        loop {
            let at = |e: WireError| WireError(format!("frame {frame}: {e}"));
            let mut size = [0u8; 4];
            let mut got = 0;
            while got < size.len() {
                match input.read(&mut size[got..]) {
                    Ok(0) if got == 0 => return Ok(()),
                    Ok(0) => return Err(at(WireError("cut short in its length field".into()))),
                    Ok(n) => got += n,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => return Err(io("standard input", e)),
                }
            }
            let want = u32::from_le_bytes(size) as usize;
            if want < HEADER_LEN {
                return Err(at(WireError(format!("length {want} is shorter than a header"))));
            }
            bytes.clear();
            bytes.extend_from_slice(&size);
            // The buffer grows only as bytes arrive, so a bogus length allocates nothing.
            let rest = (want - size.len()) as u64;
            let read =
                input.by_ref().take(rest).read_to_end(&mut bytes).map_err(|e| io("standard input", e))?;
            if read as u64 != rest {
                return Err(at(WireError(format!("cut short, {} of {want} bytes", read + size.len()))));
            }
            let reply = self.answer(&bytes).map_err(at)?;
            output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| io("standard output", e))?;
            frame += 1;
        }
    }

    /// Handles one complete frame and returns the reply.
    ///
    /// # Errors
    /// Fails if the frame violates the protocol.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let head = Fields { bytes: frame, what: "header" };
        let (count, now) = (head.u32(4)? as usize, head.f64(8)?);
        let body = frame.get(HEADER_LEN..).unwrap_or(&[]);
        let records = count.checked_mul(EVENT_LEN).filter(|&n| n <= body.len());
        let records = records.ok_or_else(|| WireError(format!("header: {count} records do not fit")))?;
        let (events, tail) = body.split_at(records);
        let tail = Fields { bytes: tail, what: "tail" };
        let mut reply = vec![0u8; 8];
        let mut written = 0u32;
        for (i, record) in events.chunks_exact(EVENT_LEN).enumerate() {
            let at = |e: WireError| WireError(format!("record {i}: {e}"));
            let event = Fields { bytes: record, what: "event" };
            let instance = event.u32(2).map_err(at)?;
            self.actions.clear();
            self.event(now, instance, event, tail).map_err(at)?;
            for record in self.actions.iter().filter_map(|action| encode(instance, action)) {
                reply.extend_from_slice(record.bytes());
                written += 1;
            }
        }
        let size = reply.len() as u32;
        reply[..4].copy_from_slice(&written.to_le_bytes());
        reply[4..8].copy_from_slice(&size.to_le_bytes());
        Ok(reply)
    }

    fn event(
        &mut self,
        now: Millis,
        instance: u32,
        r: Fields<'_>,
        tail: Fields<'_>,
    ) -> Result<(), WireError> {
        let code = r.u16(0)?;
        if code == 1040 {
            let text = tail.slice(r.u32(14)?, r.u32(18)?, 1)?;
            let text = std::str::from_utf8(text).map_err(|_| WireError("settings: not UTF-8".into()))?;
            self.gateways.insert(instance, Gateway::new(parse_settings(text)?, r.u64(6)?));
            return Ok(());
        }
        if code == 1020 {
            self.gateways.remove(&instance);
            return Ok(());
        }
        let Some(gateway) = self.gateways.get_mut(&instance) else {
            return Err(WireError(format!(
                "event {code} for instance {instance}, which was never provisioned"
            )));
        };
        let event = match code {
            1080 => Event::Servers {
                update: match r.u8(6)? {
                    0 => ListUpdate::Delta,
                    1 => ListUpdate::Full,
                    2 => ListUpdate::Cached,
                    3 => ListUpdate::Failed,
                    kind => return Err(WireError(format!("server list of unknown kind {kind}"))),
                },
                entries: tail
                    .slice(r.u32(11)?, r.u32(15)?, ENTRY_LEN)?
                    .chunks_exact(ENTRY_LEN)
                    .map(|e| entry(Fields { bytes: e, what: "list entry" }))
                    .collect::<Result<_, _>>()?,
            },
            1010 => Event::Request(Request {
                id: RequestId(r.u32(6)?),
                customer: CustomerId(r.u64(38)?),
                class: ClassId(r.u16(28)?.into()),
                plan: PlanId(r.u32(34)? as usize),
                units: r.f32(30)?,
                time_left: r.f64(20)?,
                spread: r.f32(16)?,
                repeat: r.u16(10)? & 2 != 0,
                ..Request::default()
            }),
            1030 => Event::Ended {
                id: RequestId(r.u32(6)?),
                attempt: r.u8(28)?,
                server: ServerId(r.u32(22)?.into()),
                outcome: outcome(r.u8(26)?)?,
                complete: r.u8(27)? != 0,
                took: r.f64(14)?,
                settled: r.u16(12)?.into(),
                load: load_report(r, 29)?,
            },
            1090 => Event::Streaming { id: RequestId(r.u32(6)?), attempt: r.u8(10)? },
            1100 => Event::Gone(RequestId(r.u32(6)?)),
            1070 => Event::Timer(r.u64(6)?),
            1000 => Event::Probed {
                server: ServerId(r.u32(7)?.into()),
                outcome: outcome(r.u8(6)?)?,
                took: r.f64(11)?,
                load: load_report(r, 19)?,
            },
            1060 => Event::Counted {
                name: CountName(r.u64(15)?),
                outcome: outcome(r.u8(14)?)?,
                took: r.f64(6)?,
                total: r.f32(23)?,
            },
            // Gateway-to-gateway message: gateways of this library send none and ignore them.
            1050 => return Ok(()),
            _ => return Err(WireError(format!("unknown event code {code}"))),
        };
        gateway.handle(now, event, &mut self.actions);
        Ok(())
    }
}

fn entry(e: Fields<'_>) -> Result<ServerEntry, WireError> {
    Ok(ServerEntry {
        weight: e.f32(0)?,
        server: ServerId(e.u32(4)?.into()),
        zone: e.u16(8)?,
        started: e.f64(11)?,
        cell: e.u16(19)?,
        state: match e.u8(21)? {
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            0 => ServerState::Gone,
            state => return Err(WireError(format!("server in unknown state {state}"))),
        },
        ..ServerEntry::default()
    })
}

fn outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Ok,
        13 => Outcome::Error,
        8 => Outcome::Full,
        4 => Outcome::TimedOut,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotSent,
        _ => return Err(WireError(format!("unknown outcome {code}"))),
    })
}

fn load_report(r: Fields<'_>, at: usize) -> Result<Vec<f64>, WireError> {
    let n = usize::from(r.u8(at)?);
    if n > 4 {
        return Err(WireError(format!("load report of {n} values, at most 4 are allowed")));
    }
    (0..n).map(|i| r.f32(at + 1 + 4 * i)).collect()
}

/// Encodes an action; returns nothing for actions that the protocol does not have.
fn encode(instance: u32, action: &Action) -> Option<Record> {
    Some(match *action {
        Action::Send { id, server, timeout } => {
            Record::new(1000, instance).u32(6, id.0).u32(10, number(server)).f64(14, timeout)
        }
        // In this protocol a request always includes its body.
        Action::Await { .. } => return None,
        Action::Refuse { id, retry_after } => Record::new(1010, instance).u32(6, id.0).f64(10, retry_after),
        Action::Fail(id) => Record::new(1020, instance).u32(6, id.0),
        Action::Cancel { id, attempt } => Record::new(1030, instance).u32(6, id.0).put(10, &[attempt]),
        Action::Probe(server) => Record::new(1050, instance).u32(6, number(server)),
        Action::Count { name, add, ttl } => Record::new(1120, instance)
            .put(6, &name.0.to_le_bytes())
            .put(14, &(add as f32).to_le_bytes())
            .f64(18, ttl),
        Action::Timer { after, name } => {
            Record::new(1040, instance).f64(6, after).put(14, &name.to_le_bytes())
        }
        Action::Watch => Record::new(1100, instance).put(6, &[1]),
    })
}

/// Returns a server's number in the protocol. All server ids were decoded from 32-bit numbers.
fn number(server: ServerId) -> u32 {
    server.0 as u32
}
