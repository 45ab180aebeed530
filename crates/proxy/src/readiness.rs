//! `GET /ready`, for the platform's health checks.

use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which a request must be complete and answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 4096;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Serves `GET /ready` at this listener, for the life of the process: 200 if ready, 503 if not.
pub async fn serve(listener: TcpListener, is_ready: Rc<dyn Fn() -> bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let is_ready = is_ready.clone();
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(REQUEST_TIMEOUT, answer(stream, &*is_ready)).await;
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn answer(mut stream: TcpStream, is_ready: &dyn Fn() -> bool) -> std::io::Result<()> {
    let mut request = Vec::with_capacity(512);
    while !request.windows(4).any(|window| window == b"\r\n\r\n") && request.len() < MAX_REQUEST_BYTES {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let status = if !request.starts_with(b"GET /ready ") {
        "404 Not Found"
    } else if is_ready() {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{{}}");
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await
}
