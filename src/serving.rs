//! Execution of an admitted request at the agent: calls the back end, relays the answer and
//! determines the cause of a failure.

use std::time::Duration;

use ebonyfall_core::code::Code;
use ebonyfall_wire::frame::{MAX_PART_BYTES, Submit};
use http_body_util::BodyExt;
use tokio::time::{self, Instant, timeout_at};

use crate::{
    agent::Agent,
    engine::{BackendAnswer, EngineStatus},
    session::Session,
};

/// Delay between a broken call and the status request that shows whether the engine crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Last bytes of a complete stream of server-sent events.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

impl Agent {
    /// Runs an admitted request and returns the length of the answer in bytes, or the code of the
    /// failure. Returns `None` when the request was cancelled because no caller waits for it any
    /// more. A claimed request is not cancelled with its connection: it waits for a new one as long as
    /// others do, and then runs to its end without one, so that the guard learns its result.
    pub(crate) async fn serve(
        &self,
        session: &mut Session,
        submit: Submit,
        deadline: Instant,
    ) -> Option<Result<u64, Code>> {
        let engine = submit.version.is_some();
        let claimed = submit.claim.is_some();
        let call = self
            .backend
            .call(submit.attempt, submit.priority, engine, submit.call);
        // Boxed and dropped early: the future is large and is not needed while the body arrives.
        let mut call = Box::pin(timeout_at(deadline, call));
        let res = loop {
            tokio::select! {
                res = &mut call => break res,
                signal = session.next_signal() => {
                    if !session.on_signal(signal).await && !claimed {
                        return None;
                    }
                }
            }
        };
        drop(call);
        let answer = match res {
            Ok(Ok(answer)) => answer,
            Ok(Err(Code::EngineFailed)) => return Some(Err(self.failure_code(engine).await)),
            Ok(Err(code)) => return Some(Err(code)),
            Err(_) => return Some(Err(Code::EngineTimeout)),
        };
        session.queue_head(answer.head.clone()).await;
        self.relay_body(session, answer, engine, claimed, deadline)
            .await
    }

    async fn relay_body(
        &self,
        session: &mut Session,
        mut answer: BackendAnswer,
        engine: bool,
        claimed: bool,
        deadline: Instant,
    ) -> Option<Result<u64, Code>> {
        let event_stream = answer.head.content_type.starts_with("text/event-stream");
        let mut tail = Vec::new();
        loop {
            // While the router is disconnected the body is not read, so backpressure slows the back
            // end and the replay buffer stays within its limit.
            let frame = tokio::select! {
                frame = timeout_at(deadline, answer.body.frame()),
                    if !session.awaits_router() => frame,
                signal = session.next_signal() => {
                    if session.on_signal(signal).await || claimed {
                        continue;
                    }
                    return None;
                }
            };
            let mut data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Some(Err(self.failure_code(engine).await)),
                Ok(None) if event_stream && tail != STREAM_END => {
                    return Some(Err(self.failure_code(engine).await));
                }
                Ok(None) => return Some(Ok(session.offset())),
                Err(_) => return Some(Err(Code::EngineTimeout)),
            };
            keep_tail(&mut tail, &data);
            while !data.is_empty() {
                session
                    .send_part(data.split_to(data.len().min(MAX_PART_BYTES)))
                    .await;
            }
        }
    }

    /// Returns the code for a broken call: `EngineCrashed` if the engine is down or has restarted,
    /// `EngineFailed` otherwise.
    async fn failure_code(&self, engine: bool) -> Code {
        if !engine {
            return Code::EngineFailed;
        }
        let previous = self.admission.incarnation().await;
        // A process that exits closes its connections before its listener, so an immediate check
        // could still find the engine up.
        time::sleep(CRASH_CHECK_DELAY).await;
        match self.backend.status().await {
            EngineStatus::Down => Code::EngineCrashed,
            EngineStatus::Up { incarnation, .. }
                if previous.is_some_and(|previous| previous != incarnation) =>
            {
                Code::EngineCrashed
            }
            EngineStatus::Up { .. } | EngineStatus::Unknown => Code::EngineFailed,
        }
    }
}

/// Appends `data` to `tail`, which keeps only the last bytes, as many as `STREAM_END` has.
fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(STREAM_END.len())..]);
    tail.drain(..tail.len().saturating_sub(STREAM_END.len()));
}
