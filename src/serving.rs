//! An admitted request at the target: its call, its answer and why it broke.

use std::time::Duration;

use ebonyfall_core::code::Code;
use ebonyfall_wire::frame::{MAX_PART_BYTES, Submit};
use http::{Response, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{self, Instant, timeout_at};

use crate::{
    agent::Agent,
    engine::{self, EngineStatus},
    session::Session,
};

/// Pause before the engine is asked whether it is still there after a call broke.
const CRASH_PAUSE: Duration = Duration::from_millis(20);
/// Last bytes of a whole stream of server-sent events.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

impl Agent {
    /// Runs an admitted request; returns the answer's length, none when nobody waits for it. A
    /// claimed request runs to its end without its connection, so that the guard learns its fate.
    pub(crate) async fn serve(
        &self,
        session: &mut Session,
        submit: Submit,
        deadline: Instant,
    ) -> Option<Result<u64, Code>> {
        let engine = submit.version.is_some();
        let claimed = submit.claim.is_some();
        let call = self.backend.call(
            submit.attempt,
            submit.priority,
            submit.repeat,
            engine,
            submit.call,
        );
        // The call's future is large and must not live as long as the answer.
        let mut call = Box::pin(timeout_at(deadline, call));
        let res = loop {
            tokio::select! {
                res = &mut call => break res,
                signal = session.signal(), if !claimed => {
                    if !session.on_signal(signal).await {
                        return None;
                    }
                }
            }
        };
        drop(call);
        let res = match res {
            Ok(Ok(res)) => res,
            Ok(Err(Code::EngineFailed)) => return Some(Err(self.cause(engine).await)),
            Ok(Err(code)) => return Some(Err(code)),
            Err(_) => return Some(Err(Code::EngineTimeout)),
        };
        session.put_head(engine::answer_head(&res)).await;
        self.body(session, res, engine, claimed, deadline).await
    }

    async fn body(
        &self,
        session: &mut Session,
        res: Response<Incoming>,
        engine: bool,
        claimed: bool,
        deadline: Instant,
    ) -> Option<Result<u64, Code>> {
        let kind = res
            .headers()
            .get(CONTENT_TYPE)
            .map(|kind| kind.as_bytes().to_vec());
        let events = kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"));
        let mut body = res.into_body();
        let mut tail = Vec::new();
        loop {
            // While there is no connection, the back end is slowed down instead of the replay
            // growing.
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()), if claimed || session.is_attached() => frame,
                signal = session.signal(), if !claimed => {
                    if session.on_signal(signal).await {
                        continue;
                    }
                    return None;
                }
            };
            let mut data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Some(Err(self.cause(engine).await)),
                Ok(None) if events && tail != STREAM_END => {
                    return Some(Err(self.cause(engine).await));
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

    /// Why a running call broke: the engine crashed if it is gone or was restarted.
    async fn cause(&self, engine: bool) -> Code {
        if !engine {
            return Code::EngineFailed;
        }
        let known = self.admission.incarnation().await;
        // A process that ends closes its connections before its listener.
        time::sleep(CRASH_PAUSE).await;
        match self.backend.status().await {
            EngineStatus::Down => Code::EngineCrashed,
            EngineStatus::Up { incarnation, .. }
                if known.is_some_and(|known| known != incarnation) =>
            {
                Code::EngineCrashed
            }
            EngineStatus::Up { .. } | EngineStatus::Unknown => Code::EngineFailed,
        }
    }
}

/// Keeps as many of the last bytes as the end of a stream has.
fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(STREAM_END.len())..]);
    tail.drain(..tail.len().saturating_sub(STREAM_END.len()));
}
