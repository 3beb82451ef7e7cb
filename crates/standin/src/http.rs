//! Small helpers for HTTP servers and clients of stand-ins.

use super::*;

/// A client of stand-ins and instances.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that makes a new connection for each request.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(connector)
}

/// Sends JSON and reads JSON; `None` if there is no such answer.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    let request = hyper::Request::post(format!("http://{address}{path}"))
        .body(Full::from(body.to_string()))
        .ok()?;
    read(request).await
}

/// Reads JSON; `None` if there is no such answer.
pub async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let request = hyper::Request::get(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    read(request).await
}

async fn read(request: hyper::Request<Full<Bytes>>) -> Option<Value> {
    let response = client().request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Serves a router for ever.
pub(crate) async fn serve(address: SocketAddr, router: Router) {
    let acceptor = TcpListener::new(address).bind().await;
    Server::new(acceptor).serve(router).await;
}

/// The JSON body of a request; null if it is none.
pub(crate) async fn json_body(request: &mut Request) -> Value {
    match request.payload_with_max_size(64 << 20).await {
        Ok(bytes) => serde_json::from_slice(bytes).unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

/// Answers with JSON.
pub(crate) fn answer(response: &mut Response, status: StatusCode, body: &Value) {
    answer_text(response, status, body.to_string());
}

/// The same with text, which need not be valid JSON.
pub(crate) fn answer_text(response: &mut Response, status: StatusCode, body: String) {
    response.status_code(status);
    let _ = response.add_header(header::CONTENT_TYPE, "application/json", true);
    let _ = response.write_body(body);
}
