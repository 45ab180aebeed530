//! What a server says of itself.

use miniserde::{json, Deserialize};
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::server_state;

/// Longest text that is believed.
const LONGEST: usize = 256;
/// Longest cold spell that is believed, ms.
const COLDEST: f64 = 600_000.0;

#[derive(Deserialize)]
struct Beat {
    mesh: Option<String>,
    service: String,
    address: String,
    zone: String,
    version: Option<String>,
    slots: Option<f64>,
    #[serde(rename = "serverState")]
    state: String,
    #[serde(rename = "coldLeftMs")]
    cold: Option<f64>,
    #[serde(rename = "callCount")]
    calls: f64,
}

/// Reads a beat of the server `id`.
///
/// # Errors
/// What is wrong in it, and what is allowed.
pub fn read(id: &str, body: &[u8]) -> Result<ServerRow, String> {
    let text = std::str::from_utf8(body).map_err(|_| "the body is no UTF-8".to_owned())?;
    let beat: Beat = json::from_str(text).map_err(|_| {
        "the body is no beat: service, address, zone, serverState (texts) and callCount (a number) are needed".to_owned()
    })?;
    let state = match beat.state.as_str() {
        "ready" => server_state::READY,
        "draining" => server_state::DRAINING,
        other => return Err(format!("serverState is {other:?}; allowed: ready, draining")),
    };
    if beat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("address is {:?}; allowed: an address with a port", beat.address));
    }
    if id.is_empty() || [id, &beat.service, &beat.zone].iter().any(|t| t.len() > LONGEST) {
        return Err(format!("id, service and zone have 1 to {LONGEST} bytes"));
    }
    let mesh = beat.mesh.unwrap_or_default();
    let said = oatbank_config_model::mesh::parts(&beat.service).0;
    if mesh.len() > LONGEST || mesh.contains('/') || !mesh.is_empty() && !said.is_empty() && said != mesh {
        return Err(format!(
            "mesh is {mesh:?} for the service {:?}; allowed: up to {LONGEST} bytes without a slash, and the \
             mesh that the service's name says, if it says one",
            beat.service
        ));
    }
    if !(0.0..=9e15).contains(&beat.calls) {
        return Err(format!("callCount is {}; allowed: a number from 0 on", beat.calls));
    }
    Ok(ServerRow {
        id: id.to_owned(),
        // One text says both: no two servers are taken for each other by who knows no meshes.
        service: oatbank_config_model::mesh::whole(&mesh, &beat.service),
        address: beat.address,
        zone: beat.zone,
        version: beat.version.unwrap_or_default(),
        slots: beat.slots.unwrap_or(1.0).clamp(0.0, 1e6) as u32,
        state,
        cold_ms: beat.cold.unwrap_or(0.0).clamp(0.0, COLDEST).ceil() as u32,
        calls: beat.calls as u64,
        silent: false,
        heard_ago: 0,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":3,"serverState":"draining","coldLeftMs":12.5,"callCount":4,"new":[1]}"#;

    #[test]
    fn a_mesh_that_is_named_stands_before_the_service() {
        let service = |mesh: &str, service: &str| {
            let beat =
                GOOD.replace("{\"service\":\"huvo11a\"", &format!("{{{mesh}\"service\":\"{service}\""));
            read("i-1", beat.as_bytes()).map(|row| row.service)
        };
        assert_eq!(service("\"mesh\":\"north\",", "hall").as_deref(), Ok("north/hall"));
        assert_eq!(service("\"mesh\":\"north\",", "north/hall").as_deref(), Ok("north/hall"));
        assert_eq!(service("\"mesh\":null,", "hall").as_deref(), Ok("hall"));
        assert_eq!(service("", "north/hall").as_deref(), Ok("north/hall"));
        assert!(service("\"mesh\":\"south\",", "north/hall").is_err());
        assert!(service("\"mesh\":\"a/b\",", "hall").is_err());
    }

    #[test]
    fn a_beat_is_read_and_a_bad_one_is_told_by_field() {
        let row = read("i-1", GOOD.as_bytes()).expect("a beat");
        assert_eq!((row.state, row.cold_ms, row.calls, row.slots), (server_state::DRAINING, 13, 4, 3));
        for (from, to, key) in [
            ("draining", "resting", "serverState"),
            ("10.128.0.9:8080", "here", "address"),
            ("\"callCount\":4", "\"callCount\":-4", "callCount"),
            ("\"service\":\"huvo11a\",", "", "service"),
        ] {
            let bad = GOOD.replace(from, to);
            assert!(read("i-1", bad.as_bytes()).expect_err(key).contains(key), "{bad}");
        }
        assert!(read("i-1", &GOOD.as_bytes()[..40]).is_err());
    }
}
