//! Customer of the demo that sends requests at a constant rate.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Customer and the number of responses by status.
pub struct Customer {
    who: &'static str,
    statuses: Rc<RefCell<BTreeMap<u16, u32>>>,
    task: AbortHandle,
}

impl Customer {
    /// Starts to send `rate` requests per second.
    pub fn start(who: &'static str, limiter: SocketAddr, plan: &'static str, number: u64, rate: u32) -> Self {
        let statuses = Rc::new(RefCell::new(BTreeMap::new()));
        let counted = statuses.clone();
        let task = tokio::task::spawn_local(async move {
            let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
            for request in 0u64.. {
                ticks.tick().await;
                let counted = counted.clone();
                tokio::task::spawn_local(async move {
                    // Requests without a response are counted under status 0.
                    let status = ask(limiter, plan, number, request).await.unwrap_or(0);
                    *counted.borrow_mut().entry(status).or_insert(0) += 1;
                });
            }
        });
        Customer { who, statuses, task: task.abort_handle() }
    }

    /// Stops sending and returns a summary of the responses.
    pub fn finish(self) -> String {
        self.task.abort();
        let told = |status: &u16| match status {
            200 => "served",
            429 => "refused with a time to come back",
            0 => "without an answer",
            _ => "failed",
        };
        let statuses = self.statuses.borrow();
        let parts: Vec<String> = statuses.iter().map(|(s, n)| format!("{n} {} ({s})", told(s))).collect();
        format!("{}: {}", self.who, parts.join(", "))
    }
}

async fn ask(limiter: SocketAddr, plan: &str, number: u64, request: u64) -> Result<u16, Box<dyn Error>> {
    let stream = TcpStream::connect(limiter).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let request = Request::get(format!("/quote?customer={number:016x}"))
        .header("host", limiter.to_string())
        .header("x-correlation-id", format!("{number:04x}{request:012x}"))
        .header("x-service-class", "quote")
        .header("x-plan", plan)
        .header("x-time-left", "1.0")
        .header("x-quota", "units=1,spread=1,first=0")
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await?;
    Ok(status)
}
