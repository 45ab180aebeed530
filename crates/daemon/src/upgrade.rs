//! The way between a process and the one that follows it: a Unix socket and a file in `$TMPDIR`.
//!
//! What is decided is [`Handover`]'s. Here lines of JSON are carried, one message each, and what operators have said is
//! kept in a file, renamed into place, for a successor whose predecessor was killed. Both are found by their names in
//! the folder that the platform gives to both processes. A socket beside the file, as a file alone says nothing of who
//! has read it, and a caller's yes has to wait for that.

use crate::front::Front;
use oatbank_engine::engine::Engine;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use oatbank_operations::budget::Budget;
use oatbank_operations::handover::{Action, ChangeId, Handover, Message, PeerId};
use oatbank_operations::suspension::{Marks, Millis};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, Notify};

/// Where processes meet.
const SOCKET: &str = "oatbank.sock";
/// What operators have said.
const MARKS: &str = "oatbank-suspensions.json";
/// Descriptors that meeting other processes takes: the folder, the listener, and two that are met at once.
pub const DESCRIPTORS: usize = 6;
/// Longest message and longest file that are read: far above what all marks take.
const MOST_BYTES: u64 = 16 * 1024 * 1024;
/// Messages that may wait for another process; one that takes none is let go.
const MOST_WAITING: usize = 256;
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(20);
/// How often a start looks whether its list has come.
const LOOK: Duration = Duration::from_millis(5);

/// The folder that both processes are given.
struct Folder {
    handle: File,
    path: PathBuf,
}

impl Folder {
    fn open() -> std::io::Result<Self> {
        let path = std::env::temp_dir();
        Ok(Folder { handle: File::open(&path)?, path })
    }

    /// A socket's path by the open folder: its own may be longer than a socket's name can be.
    fn socket(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/self/fd/{}/{name}", self.handle.as_raw_fd()))
    }

    fn read(&self) -> Result<Marks, String> {
        let file = match File::open(self.path.join(MARKS)) {
            Ok(file) => file,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Marks::default()),
            Err(e) => return Err(e.to_string()),
        };
        let mut text = String::new();
        file.take(MOST_BYTES).read_to_string(&mut text).map_err(|e| e.to_string())?;
        serde_json::from_str(&text).map_err(|e| e.to_string())
    }

    /// Whole or not at all: what is there stays until the new one stands beside it.
    fn write(&self, marks: &Marks) -> Result<(), String> {
        let text = serde_json::to_vec(marks).map_err(|e| e.to_string())?;
        let beside = self.path.join(format!("{MARKS}.{}", std::process::id()));
        let write =
            std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, self.path.join(MARKS)));
        write.map_err(|e| e.to_string())
    }

    /// Listens beside the name, then takes the name over: at no time is there none to be reached.
    fn listen(&self) -> std::io::Result<UnixListener> {
        let own = format!("{SOCKET}.{}", std::process::id());
        let _ = std::fs::remove_file(self.path.join(&own));
        let listener = UnixListener::bind(self.socket(&own))?;
        std::fs::rename(self.path.join(&own), self.path.join(SOCKET))?;
        Ok(listener)
    }
}

/// This process's side of an upgrade.
pub struct Upgrade {
    engine: Rc<Engine<Http1>>,
    front: Rc<Front>,
    folder: Folder,
    /// What a part of the limiter may take.
    budget: Box<dyn Fn(f64) -> Budget>,
    handover: RefCell<Handover>,
    /// Ways to the other processes.
    peers: RefCell<HashMap<PeerId, mpsc::Sender<Message>>>,
    next: Cell<PeerId>,
    /// Callers that wait until what they said holds everywhere.
    callers: RefCell<HashMap<ChangeId, oneshot::Sender<()>>>,
    sooner: Notify,
    /// Told when the name of the socket is a dead successor's.
    nameless: Notify,
}

impl Upgrade {
    /// Looks for a predecessor, and from now on for successors. The front takes clients once [`Handover`] says so.
    ///
    /// # Errors
    /// When `$TMPDIR` cannot be used; the process is then a limiter of its own.
    pub async fn start(
        engine: Rc<Engine<Http1>>,
        front: Rc<Front>,
        budget: Box<dyn Fn(f64) -> Budget>,
    ) -> std::io::Result<Rc<Self>> {
        let folder = Folder::open()?;
        match folder.read() {
            Ok(marks) => engine.merge(&marks),
            Err(e) => tracing::error!("upgrade: {MARKS} is passed over: {e}"),
        }
        let before = UnixStream::connect(folder.socket(SOCKET)).await.ok();
        let listener = Cell::new(Some(folder.listen()?));
        let predecessor = before.as_ref().map(|_| 0);
        let handover = RefCell::new(Handover::new(engine.now(), predecessor, &engine.marks()));
        let upgrade = Rc::new(Upgrade {
            engine,
            front,
            folder,
            budget,
            handover,
            peers: RefCell::default(),
            next: Cell::new(1),
            callers: RefCell::default(),
            sooner: Notify::new(),
            nameless: Notify::new(),
        });
        if let Some(stream) = before {
            tracing::info!("upgrade: another process serves; taking over from it");
            upgrade.join(0, stream);
        }
        let accepting = upgrade.clone();
        keep_running("upgrade", move || accepting.clone().accept(listener.take()));
        let ticking = upgrade.clone();
        keep_running("upgrade's time", move || ticking.clone().tick());
        let starting = upgrade.clone();
        keep_running("start", move || starting.clone().serve());
        upgrade.change(|_, _| ());
        Ok(upgrade)
    }

    /// A successor serves: what is left here is to finish.
    pub fn has_yielded(&self) -> bool {
        self.handover.borrow().has_yielded()
    }

    /// An operator has said something here; completes once it holds at the other processes too, or has been waited
    /// for long enough.
    pub async fn said(self: &Rc<Self>) {
        let marks = self.engine.marks();
        self.keep(&marks);
        let held = {
            // Noted before anything is carried out: it may hold at once.
            let (tell, held) = oneshot::channel();
            let ticket = self.handover.borrow_mut().publish(self.engine.now(), &marks);
            self.callers.borrow_mut().insert(ticket, tell);
            held
        };
        self.change(|_, _| ());
        let _ = held.await;
    }

    fn keep(&self, marks: &Marks) {
        if let Err(e) = self.folder.write(marks) {
            tracing::error!("upgrade: {MARKS} cannot be written: {e}");
        }
    }

    fn change(self: &Rc<Self>, how: impl FnOnce(&mut Handover, Millis)) {
        how(&mut self.handover.borrow_mut(), self.engine.now());
        loop {
            let todo = self.handover.borrow_mut().take_actions();
            if todo.is_empty() {
                break;
            }
            todo.into_iter().for_each(|todo| self.carry_out(todo));
        }
        self.sooner.notify_one();
    }

    fn carry_out(self: &Rc<Self>, todo: Action) {
        match todo {
            Action::Send(id, say) => {
                let sent = self.peers.borrow().get(&id).map(|peer| peer.try_send(say));
                if !matches!(sent, Some(Ok(()))) {
                    self.peers.borrow_mut().remove(&id);
                    self.handover.borrow_mut().peer_lost(id);
                }
            }
            Action::Merge(marks) => {
                self.engine.merge(&marks);
                self.keep(&self.engine.marks());
            }
            Action::Disconnect(id) => drop(self.peers.borrow_mut().remove(&id)),
            Action::Accept(accepts) => {
                tracing::info!(
                    accepts,
                    "upgrade: {}",
                    if accepts { "takes clients" } else { "yields to another" }
                );
                self.front.set_accepting(accepts);
                self.engine.hold_readiness(false);
            }
            Action::SetShare(part) => {
                let budget = (self.budget)(part);
                self.engine.set_budget_part(part, budget);
                self.front.apply_budget(budget);
            }
            Action::SuspensionsReceived => tracing::info!("upgrade: {} servers are out", self.out()),
            Action::Acknowledged(ticket) => {
                if let Some(caller) = self.callers.borrow_mut().remove(&ticket) {
                    // A caller that has left need not be told.
                    let _ = caller.send(());
                }
            }
        }
    }

    fn out(&self) -> usize {
        self.engine.marks().0.values().filter(|m| m.out).count()
    }

    /// Tells that the limiter can serve, once it can.
    async fn serve(self: Rc<Self>) {
        while !self.engine.has_list() {
            tokio::time::sleep(LOOK).await;
        }
        self.change(|handover, _| handover.serve());
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let due = self.handover.borrow().next_due();
            match due {
                None => self.sooner.notified().await,
                Some(at) => {
                    let wait = Duration::from_secs_f64((at - self.engine.now()).max(0.0) / 1000.0);
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.change(Handover::tick),
                        () = self.sooner.notified() => {}
                    }
                }
            }
        }
    }

    /// Waits for successors. A successor takes over the socket's name; if it dies first, the name is taken back.
    async fn accept(self: Rc<Self>, mut listener: Option<UnixListener>) {
        loop {
            let Some(listening) = &listener else {
                listener = self.folder.listen().map_err(|e| tracing::error!("upgrade: {SOCKET}: {e}")).ok();
                if listener.is_none() {
                    self.nameless.notified().await;
                }
                continue;
            };
            let accepted = tokio::select! {
                accepted = listening.accept() => accepted,
                () = self.nameless.notified() => {
                    listener = None;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    let id = self.next.replace(self.next.get() + 1);
                    tracing::info!("upgrade: another process takes over");
                    self.join(id, stream);
                    let marks = self.engine.marks();
                    self.change(|handover, _| handover.add_successor(id, &marks));
                }
                Err(e) => {
                    tracing::warn!("upgrade: accept: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Carries what is said to and by another process, until one of them ends.
    fn join(self: &Rc<Self>, id: PeerId, stream: UnixStream) {
        let (reader, writer) = stream.into_split();
        let (sender, messages) = mpsc::channel(MOST_WAITING);
        self.peers.borrow_mut().insert(id, sender);
        let upgrade = self.clone();
        tokio::task::spawn_local(async move {
            let why = tokio::select! {
                why = upgrade.listen_to(id, reader) => why,
                why = talk(messages, writer) => why,
            };
            tracing::info!("upgrade: the other process: {why}");
            upgrade.peers.borrow_mut().remove(&id);
            upgrade.change(|handover, _| handover.peer_lost(id));
            if id > 0 && !upgrade.has_yielded() {
                upgrade.nameless.notify_one();
            }
        });
    }

    async fn listen_to(self: &Rc<Self>, id: PeerId, reader: OwnedReadHalf) -> String {
        let mut reader = BufReader::new(reader);
        let mut line = Vec::new();
        loop {
            line.clear();
            match (&mut reader).take(MOST_BYTES).read_until(b'\n', &mut line).await {
                Err(e) => return e.to_string(),
                Ok(_) if line.last() != Some(&b'\n') => return "has ended".into(),
                Ok(_) => {}
            }
            match serde_json::from_slice(&line) {
                Ok(say) => self.change(|handover, _| handover.receive(id, say)),
                Err(e) => return format!("cannot be understood: {e}"),
            }
        }
    }
}

/// Writes what is to be said. Ends when this process lets go of the other.
async fn talk(mut messages: mpsc::Receiver<Message>, mut writer: OwnedWriteHalf) -> String {
    while let Some(say) = messages.recv().await {
        let Ok(mut line) = serde_json::to_vec(&say) else { continue };
        line.push(b'\n');
        if let Err(e) = writer.write_all(&line).await {
            return e.to_string();
        }
    }
    "is let go".into()
}
