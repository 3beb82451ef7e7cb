//! Calls of plain services over HTTP.

use super::*;

/// Header that names the request in the service's logs.
const REQUEST: &str = "x-request-id";

/// Sends one call and tells the core task the answer.
pub(crate) async fn run(
    http: HttpClient,
    driver: Driver,
    attempt: attempt::Key,
    upstream: upstream::Key,
    request: Request<http::Body>,
) {
    let response = match http.send(request).await {
        Err(http::Error::NotSent(_)) => return fail(&driver, attempt, Failure::NotSent),
        Err(http::Error::Broken(_)) => return fail(&driver, attempt, Failure::Broken),
        Ok(response) => response,
    };
    let status = response.status();
    if engine::refuses(status) {
        engine::tell(&driver, attempt, upstream, &response);
        let failure = engine::refusal(&response, false);
        return fail(&driver, attempt, failure);
    }
    match response.into_body().collect().await {
        Err(_) => fail(&driver, attempt, Failure::Broken),
        Ok(body) => driver.event(Event::Replied {
            attempt,
            body: body.to_bytes().to_vec(),
            status: status.as_u16(),
        }),
    }
}

/// The request of a call; `path` is the method and the path.
pub(crate) fn request(
    address: SocketAddr,
    path: &str,
    payload: &[u8],
    id: u128,
) -> Option<Request<http::Body>> {
    let (method, path) = path.split_once(' ')?;
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(REQUEST, Uuid::from_u128(id).to_string())
        .body(http::Body::from(payload.to_vec()))
        .ok()
}

fn fail(driver: &Driver, attempt: attempt::Key, failure: Failure) {
    driver.event(Event::Failed { attempt, failure });
}
