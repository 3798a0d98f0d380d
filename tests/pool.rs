//! Limit on open connections to upstreams and workers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use plantaincross::http::{Connection, Pool};
use tokio::net::TcpListener;

async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = service_fn(|_: Request<Incoming>| async {
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from("ok"))))
            });
            let serving = hyper::server::conn::http1::Builder::new();
            tokio::spawn(serving.serve_connection(TokioIo::new(stream), answer));
        }
    });
    address
}

async fn exchange(connection: &mut Connection) {
    let request = Request::builder()
        .uri("/")
        .header("host", "h")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    connection.sender.ready().await.expect("open");
    let answer = connection.sender.send_request(request).await;
    let body = answer.expect("an answer").into_body();
    body.collect().await.expect("a body");
}

// Requests to many workers in turn must not exhaust the file descriptors: at the limit, the
// connection that has been idle longest is closed.
#[tokio::test]
async fn longest_idle_connection_is_closed_at_the_limit() {
    let pool = Pool::with_max_open(3);
    for _ in 0..10 {
        let address = upstream().await;
        let mut connection = pool
            .acquire(address, true)
            .await
            .expect("an idle connection is closed");
        exchange(&mut connection).await;
        pool.release(connection, 3);
        assert!(pool.open() <= 3, "{} connections are open", pool.open());
    }
}

// When all permitted connections are in use, a further one must fail at once without affecting
// the others, and closing one must free its place.
#[tokio::test]
async fn a_full_pool_refuses_and_recovers() {
    let pool = Pool::with_max_open(2);
    let mut first = pool
        .acquire(upstream().await, true)
        .await
        .expect("below the limit");
    let second = pool
        .acquire(upstream().await, true)
        .await
        .expect("below the limit");
    let third = upstream().await;
    assert!(pool.acquire(third, true).await.is_err());
    exchange(&mut first).await;
    second.close();
    let mut third = pool
        .acquire(third, true)
        .await
        .expect("below the limit again");
    exchange(&mut third).await;
    assert_eq!(pool.open(), 2);
}
