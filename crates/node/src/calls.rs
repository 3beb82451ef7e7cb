//! Calls of plain services over HTTP.

use super::*;
use caller::{Desk, Head, Submitted};

/// Answers one call.
pub(crate) async fn call(
    desk: &Desk,
    request: &mut salvo::Request,
    response: &mut salvo::Response,
) -> Result<(), Kind> {
    let head = Head::read(request)?;
    let service: String = request.param("service").ok_or(Kind::UnknownService)?;
    let rest: String = request.param("path").unwrap_or_default();
    let query = request.uri().query().map(|query| format!("?{query}"));
    let path = format!("{} /{rest}{}", request.method(), query.unwrap_or_default());
    let payload = desk.body(request).await?;
    let mut bound = path.clone().into_bytes();
    bound.extend_from_slice(&payload);
    let asked = caller::Asked {
        fingerprint: caller::fingerprint(&service, &bound),
        received: None,
        work: Work::Call {
            path: path.into(),
            payload: payload.to_vec().into(),
        },
    };
    let Submitted {
        mut guard,
        mut replies,
    } = desk.submit(head, service, Uuid::now_v7(), asked);
    let reply = replies.recv().await;
    guard.ended = true;
    match reply {
        Some(Reply::Body { body, status }) => {
            let status = StatusCode::from_u16(status);
            response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
            let _ = response.write_body(body);
        }
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => caller::refuse(response, kind, retry_after_ms),
        _ => caller::refuse(response, Kind::Unknown, None),
    }
    Ok(())
}
