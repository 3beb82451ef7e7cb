//! The endpoint for calls of plain services over HTTP.

use super::*;
use caller::{RequestHeaders, Submitted, Submitter};

/// Handles one call; on `Err`, nothing has been written to the response.
pub(crate) async fn handle(
    submitter: &Submitter,
    request: &mut salvo::Request,
    response: &mut salvo::Response,
) -> Result<(), Kind> {
    let headers = RequestHeaders::parse(request)?;
    let service: String = request.param("service").ok_or(Kind::UnknownService)?;
    let path: String = request.param("path").unwrap_or_default();
    let query = request.uri().query().map(|query| format!("?{query}"));
    let method_and_path = format!("{} /{path}{}", request.method(), query.unwrap_or_default());
    let payload = submitter.read_body(request).await?;
    let mut fingerprinted = method_and_path.clone().into_bytes();
    fingerprinted.extend_from_slice(&payload);
    let parsed = caller::ParsedRequest {
        fingerprint: caller::fingerprint(&service, &fingerprinted),
        received_tokens: None,
        work: Work::Call {
            path: method_and_path.into(),
            payload: payload.to_vec().into(),
        },
    };
    let Submitted {
        mut guard,
        mut replies,
    } = submitter.submit(headers, service, Uuid::now_v7(), parsed);
    let reply = replies.recv().await;
    guard.is_finished = true;
    match reply {
        Some(Reply::Body { body, status }) => {
            let status = StatusCode::from_u16(status);
            response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
            let _ = response.write_body(body);
        }
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => caller::write_error(response, kind, retry_after_ms),
        _ => caller::write_error(response, Kind::Unknown, None),
    }
    Ok(())
}
