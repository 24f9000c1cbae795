//! Compatibility of the callers' interface with the `async-openai` client.

mod testenv;

use std::time::Duration;

use async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::chat::{
        ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
        CreateChatCompletionRequestArgs,
    },
};
use ebonyfall_core::code::Code;
use ebonyfall_standin::{
    deploy::{Plan, TEAM_KEY},
    engine::EngineConfig,
};
use futures_util::StreamExt;
use testenv::{TestEnv, engine_status, plan};
use tokio::time::sleep;

/// Longest time until the engine's work for a disconnected caller is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

fn client(env: &TestEnv, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", env.deployment.routers[0].listen);
    let config = OpenAIConfig::new().with_api_base(base).with_api_key(key);
    Client::with_config(config)
}

fn request(tokens: u32) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("which shelf?")
        .build()
        .expect("the message is valid");
    CreateChatCompletionRequestArgs::default()
        .model("labels")
        .max_completion_tokens(tokens)
        .messages([message.into()])
        .build()
        .expect("the request is valid")
}

/// Guards against plain, streamed and refused answers that a common client cannot parse, and
/// against an engine that continues a stream which the client has dropped.
#[tokio::test(flavor = "multi_thread")]
async fn an_openai_client_is_served() {
    let engine = EngineConfig {
        token_us: 5_000,
        ..EngineConfig::default()
    };
    let env = TestEnv::start(Plan {
        engine,
        ..plan(1, 0)
    })
    .await;
    let desk = client(&env, TEAM_KEY);
    let plain = desk.chat().create(request(4)).await;
    let plain = plain.expect("the client reads the answer");
    let text = plain.choices[0].message.content.clone();
    let text = text.expect("the answer has a text");
    assert!(!text.is_empty());

    let stream = desk.chat().create_stream(request(4)).await;
    let parts: Vec<_> = stream.expect("the stream starts").collect().await;
    let mut streamed = String::new();
    for part in parts {
        let part = part.expect("the client reads the part");
        let deltas = part.choices.into_iter();
        streamed.extend(deltas.filter_map(|choice| choice.delta.content));
    }
    assert_eq!(streamed, text);

    let stream = desk.chat().create_stream(request(10_000)).await;
    let mut stream = stream.expect("the stream starts");
    stream
        .next()
        .await
        .expect("the stream has a part")
        .expect("the client reads the part");
    assert_eq!(engine_status(env.deployment.engines[0].0).await.running, 1);
    drop(stream);
    sleep(CANCEL_TIMEOUT).await;
    assert_eq!(engine_status(env.deployment.engines[0].0).await.running, 0);

    let refused = client(&env, "bad-key").chat().create(request(4)).await;
    let Err(OpenAIError::ApiError(error)) = refused else {
        panic!("the client cannot read the refusal: {refused:?}");
    };
    let code = Code::Unauthenticated.number().to_string();
    assert_eq!(error.api_error.code.as_deref(), Some(&*code));
}
