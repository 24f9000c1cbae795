//! Routers' claims on one log, without the rest of a router.

use std::sync::Arc;

use ebonyfall::{claims::Claims, clock, link::Identity, view::View};
use ebonyfall_core::{
    claim::KeyId,
    config::Tip,
    doc::Document,
    id::{Offset, RequestId},
    name::{OperatorName, TargetName},
    owner::{Action, Event, KeyedRequest, Owner},
    record::Digest,
};

/// Claims one order; returns whether this router won the claim.
pub async fn claim(claims: Claims, identity: Identity, key: u128) -> bool {
    let mut owner = Owner::new(KeyedRequest {
        key: KeyId::from(key),
        key_time: u64::try_from(clock::unix_time().as_millis()).unwrap(),
        content: 1.into(),
        router: identity.name,
        incarnation: identity.incarnation,
        id: RequestId::from(rand::random::<u128>()),
    });
    let mut event = Event::Arrived;
    loop {
        let step = claims.advance(owner, event).await.unwrap();
        owner = step.owner;
        event = match step.action {
            Action::Connect => Event::Connected {
                target: TargetName::new("press").unwrap(),
                agent: 1.into(),
            },
            Action::Send(_) => return true,
            _ => return false,
        };
    }
}

/// View of a document without targets.
pub fn empty_view() -> Arc<View> {
    let document = Document::parse("test", "[environment]\nname = trial\n").unwrap();
    let tip = Tip {
        offset: Offset::default(),
        digest: Digest::of(&document.text),
        author: OperatorName::new("tester").unwrap(),
        published_ms: 0,
        snapshot_published_ms: 0,
        deltas: 0,
        document: Arc::new(document),
    };
    Arc::new(View::new(&tip))
}
