//! Runs a value on a thread of its own, in a single-threaded runtime.

use std::future::Future;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

type Action<T> = Box<dyn FnOnce(&Rc<T>) + Send>;

/// A value on a thread of its own. Its thread ends when this is dropped.
pub struct LoopThread<T> {
    actions: UnboundedSender<Action<T>>,
}

impl<T: 'static> LoopThread<T> {
    /// Creates the value on a new thread, where it may spawn local tasks.
    pub fn start<F: Future<Output = Rc<T>>>(create: impl FnOnce() -> F + Send + 'static) -> LoopThread<T> {
        let (actions, mut wanted) = unbounded_channel::<Action<T>>();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let value = create().await;
                while let Some(action) = wanted.recv().await {
                    action(&value);
                }
            });
        });
        LoopThread { actions }
    }

    /// Runs an action on the value's thread and returns its result.
    pub fn with<R: Send + 'static>(&self, action: impl FnOnce(&Rc<T>) -> R + Send + 'static) -> R {
        self.start_action(action).recv().expect("the thread ended")
    }

    /// Runs an action on the value's thread without waiting for its result.
    pub fn start_action<R: Send + 'static>(
        &self,
        action: impl FnOnce(&Rc<T>) -> R + Send + 'static,
    ) -> Receiver<R> {
        let (sender, receiver) = channel();
        let action: Action<T> = Box::new(move |value| _ = sender.send(action(value)));
        assert!(self.actions.send(action).is_ok(), "the thread ended");
        receiver
    }
}
