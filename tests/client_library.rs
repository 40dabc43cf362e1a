//! An unmodified client library for the `OpenAI` API against real processes.

mod common;

use std::error::Error;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use common::{API_KEY, Fleet, MODEL};
use futures::StreamExt;

fn client(fleet: &Fleet, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.entry(0));
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

fn chat_request(model: &str) -> Result<CreateChatCompletionRequest, Box<dyn Error>> {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("gate 7")
        .build()?;
    let mut request = CreateChatCompletionRequestArgs::default();
    request
        .model(model)
        .max_completion_tokens(5_u32)
        .messages([message.into()]);
    Ok(request.build()?)
}

#[tokio::test]
async fn a_client_library_gets_models_chats_streams_and_errors() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start().await;
    let client = client(&fleet, API_KEY);
    let models = client.models().list().await?;
    assert_eq!(models.data[0].id, MODEL);

    let complete = client.chat().create(chat_request(MODEL)?).await?;
    let text = complete.choices[0]
        .message
        .content
        .clone()
        .unwrap_or_default();
    assert_eq!(text.split_whitespace().count(), 5, "{text}");

    let mut stream = client.chat().create_stream(chat_request(MODEL)?).await?;
    let mut streamed = String::new();
    while let Some(chunk) = stream.next().await {
        for choice in chunk?.choices {
            streamed.push_str(&choice.delta.content.unwrap_or_default());
        }
    }
    assert_eq!(
        streamed, text,
        "the stand-in must give equal prompts equal responses"
    );

    let missing = client.chat().create(chat_request("no-such-model")?).await;
    let Err(OpenAIError::ApiError(error)) = missing else {
        panic!("{missing:?}")
    };
    assert!(
        format!("{error:?}").contains("model_not_found"),
        "{error:?}"
    );
    Ok(())
}
