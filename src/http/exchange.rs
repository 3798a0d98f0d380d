//! A single request attempt at an upstream.

use std::sync::Arc;

use axum::http::{HeaderName, HeaderValue, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::pool::Connection;
use super::proxy::{Incoming, Outcome, Proxy, Responder, SENDER_HEADER, idle_limit, is_hop_header};
use super::reply::{ErrorResponse, REQUEST_ID};
use crate::core::gate::{Announcement, Assignment, Completion};
use crate::error::Kind;
use crate::event::Event;

impl Proxy {
    // Releases the slot of an attempt. While the upstream may still be working on the request,
    // the slot stays reserved until the run limit has passed.
    pub(super) fn release(&self, assignment: Assignment, outcome: &Outcome) {
        let traffic = Arc::clone(&self.node.traffic);
        match outcome {
            Outcome::Answered(_) => traffic.finish(assignment, Completion::Answered),
            Outcome::Failed(_, _, Some(until)) => {
                traffic.suspend(assignment.upstream);
                let until = *until;
                self.tasks.spawn(async move {
                    sleep_until(until).await;
                    traffic.finish(assignment, Completion::Failed);
                });
            }
            Outcome::Unsent(_) | Outcome::Failed(_, _, None) => {
                traffic.finish(assignment, Completion::Failed);
            }
        }
    }

    /// Makes one attempt. The caller gets an error at the deadline, but the exchange goes on
    /// until the upstream answers or the run limit passes, so that the slot stays reserved
    /// while the upstream may be working.
    pub(super) async fn attempt(
        &self,
        incoming: &Incoming,
        assignment: Assignment,
        responder: &mut Option<Responder>,
    ) -> Outcome {
        let traffic = &self.node.traffic;
        let target = {
            let gate = traffic.gate.lock().expect("gate lock");
            gate.upstream(assignment.upstream)
                .map(|u| u.announcement.clone())
        };
        let Some(target) = target else {
            return Outcome::Unsent("the upstream was removed".into());
        };
        let connection = match self.pool.acquire(target.address, incoming.idempotent).await {
            Ok(connection) => connection,
            Err(err) => return Outcome::Unsent(format!("{}: {err}", target.name)),
        };
        if traffic.clock.now() >= incoming.deadline {
            connection.close();
            return Outcome::Unsent("the deadline passed before the request was sent".into());
        }
        traffic.record(Event::RequestSent {
            request: incoming.id.clone(),
            upstream: target.name.clone(),
        });
        let deadline = Instant::from_std(traffic.clock.instant(incoming.deadline));
        let run_until = Instant::now() + incoming.settings.run_limit;
        let exchange = self.perform_exchange(connection, incoming, run_until, &target);
        tokio::pin!(exchange);
        tokio::select! {
            ended = &mut exchange => return ended,
            () = sleep_until(deadline) => {}
        }
        traffic.suspend(assignment.upstream);
        if let Some(responder) = responder.take() {
            let error_response = ErrorResponse::new(Kind::DeadlineExceeded, &incoming.id);
            self.respond(incoming, responder, Err(error_response));
        }
        exchange.await
    }

    // Sends the request and reads the whole response.
    pub(super) async fn perform_exchange(
        &self,
        mut connection: Connection,
        incoming: &Incoming,
        run_until: Instant,
        target: &Announcement,
    ) -> Outcome {
        let request = match self.upstream_request(incoming, &target.address.to_string()) {
            Ok(request) => request,
            Err(message) => {
                connection.close();
                return Outcome::Unsent(message);
            }
        };
        let sent = timeout_at(run_until, connection.sender.try_send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut err)) => {
                let unsent = err.take_message().is_some();
                connection.close();
                let message = format!("{}: {}", target.name, err.error());
                if unsent {
                    return Outcome::Unsent(message);
                }
                // An orderly close comes from the upstream, which then no longer works on the
                // request. A reset may come from a middlebox, so the request may still run.
                let until = (!err.error().is_incomplete_message()).then_some(run_until);
                return Outcome::Failed(Kind::UpstreamFailed, message, until);
            }
            Err(_) => {
                connection.close();
                let message = format!("{} did not answer within the run limit", target.name);
                return Outcome::Failed(Kind::UpstreamFailed, message, None);
            }
        };
        let (head, body) = response.into_parts();
        let is_mismatched = head
            .headers
            .get(REQUEST_ID)
            .is_some_and(|id| id.as_bytes() != incoming.id.as_bytes());
        if is_mismatched {
            connection.close();
            let message = format!("{} answered with the id of another request", target.name);
            return Outcome::Failed(Kind::BadAnswer, message, Some(run_until));
        }
        let limit = usize::try_from(incoming.settings.answer_limit).unwrap_or(usize::MAX);
        let body = timeout_at(run_until, Limited::new(body, limit).collect()).await;
        match body {
            Ok(Ok(body)) => {
                self.pool.release(connection, idle_limit(target));
                Outcome::Answered(Response::from_parts(head, body.to_bytes()))
            }
            Ok(Err(err)) => {
                connection.close();
                let message = if err.is::<LengthLimitError>() {
                    format!("the response of {} exceeds {limit} bytes", target.name)
                } else {
                    format!("the response of {} was truncated", target.name)
                };
                Outcome::Failed(Kind::BadAnswer, message, Some(run_until))
            }
            Err(_) => {
                connection.close();
                let message = format!(
                    "the response of {} did not end within the run limit",
                    target.name
                );
                Outcome::Failed(Kind::BadAnswer, message, None)
            }
        }
    }

    // Builds the request to the upstream, without hop-by-hop headers.
    pub(super) fn upstream_request(
        &self,
        incoming: &Incoming,
        host: &str,
    ) -> Result<hyper::Request<Full<Bytes>>, String> {
        let mut request = hyper::Request::builder()
            .method(incoming.method.clone())
            .uri(&incoming.path)
            .body(Full::new(incoming.body.clone()))
            .map_err(|err| err.to_string())?;
        let headers = request.headers_mut();
        for (name, value) in &incoming.headers {
            if !is_hop_header(name) {
                headers.append(name, value.clone());
            }
        }
        let mut set = |name: &'static str, value: &str| {
            HeaderValue::from_str(value)
                .map(|value| headers.insert(HeaderName::from_static(name), value))
                .map_err(|err| err.to_string())
        };
        set("host", host)?;
        set(REQUEST_ID, &incoming.id)?;
        set("x-team", &incoming.team)?;
        set(SENDER_HEADER, &self.node.traffic.id.to_string())?;
        Ok(request)
    }
}
