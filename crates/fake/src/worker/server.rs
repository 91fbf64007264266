use {
    super::Tasks,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    model::worker::Order,
    std::{
        convert::Infallible,
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// Largest accepted body: 64 orders with payloads of 64 KiB.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Accepts orders until the task is dropped.
pub(super) async fn serve(listener: TcpListener, tasks: Arc<Mutex<Tasks>>, changed: Arc<Notify>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (tasks, changed) = (tasks.clone(), changed.clone());
        let service = service_fn(move |request| answer(request, tasks.clone(), changed.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    request: Request<Incoming>,
    tasks: Arc<Mutex<Tasks>>,
    changed: Arc<Notify>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    let orders = match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => serde_json::from_slice::<Vec<Order>>(&body.to_bytes()),
        Err(_) => {
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            return Ok(response);
        }
    };
    match orders {
        Ok(orders) => {
            let now = Instant::now();
            let answer = tasks
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .obey(&orders, now);
            *response.body_mut() =
                Full::new(serde_json::to_vec(&answer).unwrap_or_default().into());
            changed.notify_one();
        }
        Err(_) => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    Ok(response)
}
