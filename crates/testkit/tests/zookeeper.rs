//! The stand-in coordinator against a client library that is not ours: what it takes for ZooKeeper, others may.

use oatbank_testkit::conformance::on_local_set;
use oatbank_testkit::eventually;
use oatbank_testkit::zookeeper::Coordinator;
use std::time::Duration;
use zookeeper_client::{Acls, AddWatchMode, Client, CreateMode, Error, EventType, SessionState};

async fn client(coordinator: &Coordinator) -> Client {
    let connector = Client::connector().with_session_timeout(Duration::from_secs(10));
    connector.connect(&coordinator.cluster()).await.expect("a session")
}

#[test]
fn nodes_are_created_read_changed_and_deleted_with_their_versions_and_errors() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let client = client(&coordinator).await;
        let open = CreateMode::Persistent.with_acls(Acls::anyone_all());
        client.create("/services", b"", &open).await.expect("a folder");
        assert_eq!(client.create("/services", b"", &open).await.map(|_| ()), Err(Error::NodeExists));
        assert_eq!(client.create("/none/x", b"", &open).await.map(|_| ()), Err(Error::NoNode));
        let (stat, _) = client.create("/services/a", b"one", &open).await.expect("a node");
        let (data, read) = client.get_data("/services/a").await.expect("data");
        assert_eq!((data.as_slice(), read.czxid, read.version), (b"one".as_slice(), stat.czxid, 0));
        assert_eq!(client.set_data("/services/a", b"two", Some(7)).await.map(|_| ()), Err(Error::BadVersion));
        assert_eq!(client.set_data("/services/a", b"two", Some(0)).await.expect("a change").version, 1);
        assert_eq!(client.delete("/services", None).await, Err(Error::NotEmpty));
        let (names, folder) = client.get_children("/services").await.expect("names");
        assert_eq!((names, folder.num_children), (vec!["a".to_owned()], 1));
        client.delete("/services/a", Some(1)).await.expect("a deletion");
        assert_eq!(client.check_stat("/services/a").await.expect("an answer"), None);
        assert_eq!(client.get_data("/services/a").await.map(|_| ()), Err(Error::NoNode));
    });
}

#[test]
fn ephemeral_and_sequential_nodes_go_with_their_session() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let (owner, other) = (client(&coordinator).await, client(&coordinator).await);
        coordinator.put("/services", b"");
        let mode = CreateMode::EphemeralSequential.with_acls(Acls::anyone_all());
        let (_, first) = owner.create("/services/member_", b"x", &mode).await.expect("a member");
        let (_, second) = owner.create("/services/member_", b"x", &mode).await.expect("a member");
        assert!(first.into_i64() < second.into_i64());
        let below = CreateMode::Persistent.with_acls(Acls::anyone_all());
        let names = other.list_children("/services").await.expect("names");
        let path = format!("/services/{}/x", names[0]);
        assert_eq!(other.create(&path, b"", &below).await.map(|_| ()), Err(Error::NoChildrenForEphemerals));
        let (_, _, gone) = other.get_and_watch_children("/services").await.expect("names");
        let mut state = owner.state_watcher();
        coordinator.expire(owner.session_id().0);
        assert_eq!(gone.changed().await.event_type, EventType::NodeChildrenChanged);
        assert!(other.list_children("/services").await.expect("names").is_empty());
        while state.changed().await != SessionState::Expired {}
    });
}

#[test]
fn one_shot_watches_fire_once_and_recursive_ones_go_on() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let client = client(&coordinator).await;
        coordinator.put("/s/a", b"1");
        let (_, _, data) = client.get_and_watch_data("/s/a").await.expect("data");
        let (none, created) = client.check_and_watch_stat("/s/b").await.expect("an answer");
        assert!(none.is_none());
        let mut all = client.watch("/s", AddWatchMode::PersistentRecursive).await.expect("a watch");
        coordinator.put("/s/a", b"2");
        coordinator.put("/s/a", b"3");
        coordinator.put("/s/b", b"1");
        coordinator.delete("/s/a");
        let event = data.changed().await;
        assert_eq!((event.event_type, event.path.as_str()), (EventType::NodeDataChanged, "/s/a"));
        assert_eq!(created.changed().await.event_type, EventType::NodeCreated);
        let mut seen = Vec::new();
        while seen.len() < 4 {
            let event = all.changed().await;
            seen.push((event.event_type, event.path));
        }
        let wanted = [
            (EventType::NodeDataChanged, "/s/a"),
            (EventType::NodeDataChanged, "/s/a"),
            (EventType::NodeCreated, "/s/b"),
            (EventType::NodeDeleted, "/s/a"),
        ];
        assert!(seen.iter().map(|(kind, path)| (*kind, path.as_str())).eq(wanted), "{seen:?}");
    });
}

#[test]
fn a_multi_is_all_or_nothing() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let client = client(&coordinator).await;
        coordinator.put("/m", b"");
        let mode = CreateMode::Persistent.with_acls(Acls::anyone_all());
        let mut good = client.new_multi_writer();
        good.add_create("/m/a", b"1", &mode).expect("an operation");
        good.add_set_data("/m/a", b"2", Some(0)).expect("an operation");
        good.commit().await.expect("all of it");
        assert_eq!(coordinator.get("/m/a").as_deref(), Some(b"2".as_slice()));
        let mut bad = client.new_multi_writer();
        bad.add_delete("/m/a", None).expect("an operation");
        bad.add_create("/none/x", b"", &mode).expect("an operation");
        assert!(bad.commit().await.is_err());
        assert!(coordinator.get("/m/a").is_some(), "the first half was kept");
    });
}

#[test]
fn a_session_outlives_a_cut_connection_and_hears_what_it_missed() {
    let coordinator = Coordinator::start(3);
    on_local_set(async move {
        let client = client(&coordinator).await;
        coordinator.put("/s/a", b"1");
        let (_, _, watch) = client.get_and_watch_data("/s/a").await.expect("data");
        let (session, mut state) = (client.session_id(), client.state_watcher());
        coordinator.endpoints.iter().for_each(|e| e.refuse(true));
        coordinator.cut();
        assert_eq!(state.changed().await, SessionState::Disconnected);
        coordinator.put("/s/a", b"2");
        coordinator.endpoints.iter().for_each(|e| e.refuse(false));
        assert_eq!(watch.changed().await.event_type, EventType::NodeDataChanged);
        assert_eq!((client.session_id(), client.state()), (session, SessionState::SyncConnected));
        let (data, _) = client.get_data("/s/a").await.expect("data");
        assert_eq!(data, b"2");
    });
}

#[test]
fn a_spoilt_answer_is_never_taken_for_one_and_a_new_session_reads_on() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let first = client(&coordinator).await;
        coordinator.put("/s/a", b"1");
        coordinator.endpoints[0].spoil();
        // This library gives the session up with the frame.
        assert!(first.get_data("/s/a").await.is_err(), "an answer that is none");
        let second = client(&coordinator).await;
        assert_eq!(second.get_data("/s/a").await.expect("data").0, b"1");
    });
}

#[test]
fn a_session_that_is_not_heard_of_expires_on_the_stand_ins_clock() {
    let coordinator = Coordinator::start(1);
    coordinator.put("/s", b"");
    on_local_set(async move {
        let connector = Client::connector().with_session_timeout(Duration::from_millis(400));
        let client = connector.connect(&coordinator.cluster()).await.expect("a session");
        let mode = CreateMode::Ephemeral.with_acls(Acls::anyone_all());
        client.create("/s/me", b"", &mode).await.expect("a node");
        let mut state = client.state_watcher();
        coordinator.endpoints[0].freeze(true);
        eventually("the expiry", || coordinator.children("/s").is_empty());
        coordinator.endpoints[0].freeze(false);
        while !state.changed().await.is_terminated() {}
        assert!(coordinator.sessions().is_empty());
    });
}

#[test]
fn an_address_that_lags_shows_what_was_and_turns_away_who_has_seen_more() {
    let coordinator = Coordinator::start(2);
    coordinator.put("/s/a", b"1");
    coordinator.lag(1, true);
    coordinator.put("/s/a", b"2");
    on_local_set(async move {
        let lagging = coordinator.endpoints[1].address.to_string();
        let connector = Client::connector().with_session_timeout(Duration::from_secs(10));
        let old = connector.connect(&lagging).await.expect("a session");
        assert_eq!(old.get_data("/s/a").await.expect("data").0, b"1");
        let new = client(&coordinator).await;
        coordinator.endpoints[0].refuse(false);
        assert!(new.get_data("/s/a").await.is_ok());
        coordinator.lag(1, false);
        let mut read = Vec::new();
        for _ in 0..1000 {
            read = old.get_data("/s/a").await.map(|(data, _)| data).unwrap_or_default();
            if read == b"2" {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(read, b"2");
    });
}
