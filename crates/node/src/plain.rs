//! Client for plain services: calls over HTTP.

use super::*;

/// Header with the identifier of the request, for the service's logs.
const REQUEST_ID: &str = "x-request-id";

/// Sends one call and reports the response to the core task.
pub(crate) async fn run(
    http: HttpClient,
    driver: Driver,
    attempt: attempt::Key,
    upstream: upstream::Key,
    request: Request<http::Body>,
) {
    let response = match http.send(request).await {
        Err(http::Error::NotSent(_)) => return report_failure(&driver, attempt, Failure::NotSent),
        Err(http::Error::Broken(_)) => return report_failure(&driver, attempt, Failure::Broken),
        Ok(response) => response,
    };
    let status = response.status();
    if engine::is_refusal(status) {
        engine::report_backoff(&driver, attempt, upstream, &response);
        let failure = engine::classify_error(&response, false);
        return report_failure(&driver, attempt, failure);
    }
    match response.into_body().collect().await {
        Err(_) => report_failure(&driver, attempt, Failure::Broken),
        Ok(body) => driver.send_event(Event::Replied {
            attempt,
            body: body.to_bytes().to_vec(),
            status: status.as_u16(),
        }),
    }
}

/// The HTTP request for a call; `method_and_path` is separated by a space. `None` if it makes no valid request.
pub(crate) fn request(
    address: SocketAddr,
    method_and_path: &str,
    payload: &[u8],
    request_id: u128,
) -> Option<Request<http::Body>> {
    let (method, path) = method_and_path.split_once(' ')?;
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(REQUEST_ID, Uuid::from_u128(request_id).to_string())
        .body(http::Body::from(payload.to_vec()))
        .ok()
}

fn report_failure(driver: &Driver, attempt: attempt::Key, failure: Failure) {
    driver.send_event(Event::Failed { attempt, failure });
}
