//! Communication between an old and a new process during an upgrade: a Unix socket and a file in `$TMPDIR`.
//!
//! [`Handover`] makes the decisions. This module carries its messages as lines of JSON, and stores suspensions in a
//! file, renamed into place, for a successor whose predecessor was killed. Both have fixed names in the folder that the
//! platform gives to both processes. The file alone is not enough: it does not tell who has read it, and a suspend or
//! resume call is answered only after the other process has acknowledged it.

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

/// Name of the Unix socket.
const SOCKET: &str = "oatbank.sock";
/// Name of the file with the suspensions.
const MARKS: &str = "oatbank-suspensions.json";
/// File descriptors for an upgrade: the folder, the listener, and the connections of two other processes.
pub const DESCRIPTORS: usize = 6;
/// Maximum size of a message and of the file, in bytes: far above the size of all marks.
const MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Messages that may be queued for another process; beyond that it is disconnected.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a starting process checks for its server list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The folder shared by both processes.
struct Folder {
    handle: File,
    path: PathBuf,
}

impl Folder {
    fn open() -> std::io::Result<Self> {
        let path = std::env::temp_dir();
        Ok(Folder { handle: File::open(&path)?, path })
    }

    /// Returns a socket's path through the open folder's descriptor: the plain path may exceed the length limit of socket
    /// addresses.
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
        file.take(MAX_BYTES).read_to_string(&mut text).map_err(|e| e.to_string())?;
        serde_json::from_str(&text).map_err(|e| e.to_string())
    }

    /// Replaces the file atomically: writes a temporary file and renames it.
    fn write(&self, marks: &Marks) -> Result<(), String> {
        let text = serde_json::to_vec(marks).map_err(|e| e.to_string())?;
        let temporary = self.path.join(format!("{MARKS}.{}", std::process::id()));
        let write = std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, self.path.join(MARKS)));
        write.map_err(|e| e.to_string())
    }

    /// Listens at a temporary name and renames it to [`SOCKET`], so that a process can be reached at every moment.
    fn listen(&self) -> std::io::Result<UnixListener> {
        let own = format!("{SOCKET}.{}", std::process::id());
        let _ = std::fs::remove_file(self.path.join(&own));
        let listener = UnixListener::bind(self.socket(&own))?;
        std::fs::rename(self.path.join(&own), self.path.join(SOCKET))?;
        Ok(listener)
    }
}

/// Upgrade connections and state of this process.
pub struct Upgrade {
    engine: Rc<Engine<Http1>>,
    front: Rc<Front>,
    folder: Folder,
    /// Computes the budget for a share of the limits.
    budget: Box<dyn Fn(f64) -> Budget>,
    handover: RefCell<Handover>,
    /// Message queues of the other processes.
    peers: RefCell<HashMap<PeerId, mpsc::Sender<Message>>>,
    next: Cell<PeerId>,
    /// Callers waiting for their change to be acknowledged by every process.
    callers: RefCell<HashMap<ChangeId, oneshot::Sender<()>>>,
    deadline_changed: Notify,
    /// Notified when a successor that took over the socket's name has died.
    socket_name_lost: Notify,
}

impl Upgrade {
    /// Connects to a predecessor, if there is one, and listens for successors. The front accepts clients once
    /// [`Handover`] allows it.
    ///
    /// # Errors
    /// If `$TMPDIR` cannot be used; the process then runs without upgrade coordination.
    pub async fn start(
        engine: Rc<Engine<Http1>>,
        front: Rc<Front>,
        budget: Box<dyn Fn(f64) -> Budget>,
    ) -> std::io::Result<Rc<Self>> {
        let folder = Folder::open()?;
        match folder.read() {
            Ok(marks) => engine.merge(&marks),
            Err(e) => tracing::error!("upgrade: ignoring {MARKS}: {e}"),
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
            deadline_changed: Notify::new(),
            socket_name_lost: Notify::new(),
        });
        if let Some(stream) = before {
            tracing::info!("upgrade: another process is running; taking over from it");
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

    /// Returns whether a successor serves, so that this process only finishes its open requests.
    pub fn has_yielded(&self) -> bool {
        self.handover.borrow().has_yielded()
    }

    /// Stores an operator's change and sends it to the other processes; completes once they have acknowledged it or the
    /// wait has timed out.
    pub async fn publish(self: &Rc<Self>) {
        let marks = self.engine.marks();
        self.store(&marks);
        let acknowledged = {
            // Registered before any action is carried out: the change may be acknowledged at once.
            let (tell, acknowledged) = oneshot::channel();
            let change = self.handover.borrow_mut().publish(self.engine.now(), &marks);
            self.callers.borrow_mut().insert(change, tell);
            acknowledged
        };
        self.change(|_, _| ());
        let _ = acknowledged.await;
    }

    fn store(&self, marks: &Marks) {
        if let Err(e) = self.folder.write(marks) {
            tracing::error!("upgrade: {MARKS} cannot be written: {e}");
        }
    }

    fn change(self: &Rc<Self>, update: impl FnOnce(&mut Handover, Millis)) {
        update(&mut self.handover.borrow_mut(), self.engine.now());
        loop {
            let actions = self.handover.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
        self.deadline_changed.notify_one();
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send(id, message) => {
                let sent = self.peers.borrow().get(&id).map(|peer| peer.try_send(message));
                if !matches!(sent, Some(Ok(()))) {
                    self.peers.borrow_mut().remove(&id);
                    self.handover.borrow_mut().peer_lost(id);
                }
            }
            Action::Merge(marks) => {
                self.engine.merge(&marks);
                self.store(&self.engine.marks());
            }
            Action::Disconnect(id) => drop(self.peers.borrow_mut().remove(&id)),
            Action::Accept(accepts) => {
                tracing::info!(
                    accepts,
                    "upgrade: {}",
                    if accepts { "accepting clients" } else { "yields to a successor" }
                );
                self.front.set_accepting(accepts);
                self.engine.hold_readiness(false);
            }
            Action::SetShare(share) => {
                let budget = (self.budget)(share);
                self.engine.set_budget_part(share, budget);
                self.front.apply_budget(budget);
            }
            Action::TakeoverDone => tracing::info!("upgrade: {} servers suspended", self.suspended()),
            Action::Acknowledged(change) => {
                if let Some(caller) = self.callers.borrow_mut().remove(&change) {
                    // The caller may have disconnected.
                    let _ = caller.send(());
                }
            }
        }
    }

    fn suspended(&self) -> usize {
        self.engine.marks().0.values().filter(|m| m.out).count()
    }

    /// Waits for the server list, then reports that this process can serve.
    async fn serve(self: Rc<Self>) {
        while !self.engine.has_list() {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
        self.change(|handover, _| handover.serve());
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let due = self.handover.borrow().next_due();
            match due {
                None => self.deadline_changed.notified().await,
                Some(at) => {
                    let wait = Duration::from_secs_f64((at - self.engine.now()).max(0.0) / 1000.0);
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.change(Handover::tick),
                        () = self.deadline_changed.notified() => {}
                    }
                }
            }
        }
    }

    /// Accepts successors. A successor takes over the socket's name; if it dies first, this process takes the name back.
    async fn accept(self: Rc<Self>, mut listener: Option<UnixListener>) {
        loop {
            let Some(listening) = &listener else {
                listener = self.folder.listen().map_err(|e| tracing::error!("upgrade: {SOCKET}: {e}")).ok();
                if listener.is_none() {
                    self.socket_name_lost.notified().await;
                }
                continue;
            };
            let accepted = tokio::select! {
                accepted = listening.accept() => accepted,
                () = self.socket_name_lost.notified() => {
                    listener = None;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    let id = self.next.replace(self.next.get() + 1);
                    tracing::info!("upgrade: another process is taking over");
                    self.join(id, stream);
                    let marks = self.engine.marks();
                    self.change(|handover, _| handover.add_successor(id, &marks));
                }
                Err(e) => {
                    tracing::warn!("upgrade: accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Sends and receives the messages of another process until the connection ends.
    fn join(self: &Rc<Self>, id: PeerId, stream: UnixStream) {
        let (reader, writer) = stream.into_split();
        let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.peers.borrow_mut().insert(id, sender);
        let upgrade = self.clone();
        tokio::task::spawn_local(async move {
            let reason = tokio::select! {
                reason = upgrade.receive_from(id, reader) => reason,
                reason = send_messages(messages, writer) => reason,
            };
            tracing::info!("upgrade: disconnected from the other process: {reason}");
            upgrade.peers.borrow_mut().remove(&id);
            upgrade.change(|handover, _| handover.peer_lost(id));
            if id > 0 && !upgrade.has_yielded() {
                upgrade.socket_name_lost.notify_one();
            }
        });
    }

    async fn receive_from(self: &Rc<Self>, id: PeerId, reader: OwnedReadHalf) -> String {
        let mut reader = BufReader::new(reader);
        let mut line = Vec::new();
        loop {
            line.clear();
            match (&mut reader).take(MAX_BYTES).read_until(b'\n', &mut line).await {
                Err(e) => return e.to_string(),
                Ok(_) if line.last() != Some(&b'\n') => return "connection closed".into(),
                Ok(_) => {}
            }
            match serde_json::from_slice(&line) {
                Ok(message) => self.change(|handover, _| handover.receive(id, message)),
                Err(e) => return format!("invalid message: {e}"),
            }
        }
    }
}

/// Writes queued messages to another process. Returns the reason when a write fails or the queue is closed.
async fn send_messages(mut messages: mpsc::Receiver<Message>, mut writer: OwnedWriteHalf) -> String {
    while let Some(message) = messages.recv().await {
        let Ok(mut line) = serde_json::to_vec(&message) else { continue };
        line.push(b'\n');
        if let Err(e) = writer.write_all(&line).await {
            return e.to_string();
        }
    }
    "closed by this process".into()
}
