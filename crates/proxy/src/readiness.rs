//! `GET /ready`, for the platform's own checks.

use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A question is whole within this.
const WITHIN: Duration = Duration::from_secs(2);
/// Longest question.
const LONGEST: usize = 4096;

/// Answers at this listener, for the life of the process.
pub async fn serve(listener: TcpListener, ready: Rc<dyn Fn() -> bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let ready = ready.clone();
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(WITHIN, answer(stream, &*ready)).await;
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn answer(mut stream: TcpStream, ready: &dyn Fn() -> bool) -> std::io::Result<()> {
    let mut asked = Vec::with_capacity(512);
    while !asked.windows(4).any(|w| w == b"\r\n\r\n") && asked.len() < LONGEST {
        if stream.read_buf(&mut asked).await? == 0 {
            return Ok(());
        }
    }
    let status = match asked.starts_with(b"GET /ready ") {
        false => "404 Not Found",
        true if ready() => "200 OK",
        true => "503 Service Unavailable",
    };
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{{}}");
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await
}
