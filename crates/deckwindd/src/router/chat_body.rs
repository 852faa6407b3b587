//! Request and response bodies of chat completions, in the format of the OpenAI API.

use deckwind_core::session::Activation;
use deckwind_core::state::PartId;
use serde::{Deserialize, Serialize};

/// Body of a chat request. Fields that deckwind does not use are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the template.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed token by token.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens of the answer.
    #[serde(default = "default_max_tokens", alias = "max_completion_tokens")]
    pub max_tokens: u32,
}

/// Message of a conversation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

fn default_max_tokens() -> u32 {
    256
}

impl ChatRequest {
    /// Returns the words of all messages as inputs, one per position. The first stage does
    /// the real tokenization; only the number of positions matters here.
    pub fn prompt(&self) -> Vec<Activation> {
        let mut prompt = Vec::new();
        for m in &self.messages {
            prompt.push(Activation(format!("<{}>", m.role)));
            prompt.extend(
                m.content
                    .split_whitespace()
                    .map(|w| Activation(w.to_string())),
            );
        }
        prompt
    }

    /// Returns the names of the messages as parts of the prompt: a message is the same part in
    /// each turn of a conversation, and in each conversation that begins with it.
    pub fn message_ids(&self) -> impl Iterator<Item = PartId> {
        let bytes = |m: &ChatMessage| [m.role.as_bytes(), b"\0", m.content.as_bytes()].concat();
        self.messages
            .iter()
            .map(move |m| PartId::of_bytes(&bytes(m)))
    }

    /// Returns the contents of the messages as blocks, for prefix affinity.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.messages.iter().map(|m| m.content.as_bytes())
    }
}

/// Chunk of a streamed answer.
#[derive(Serialize)]
pub struct ChatChunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// Builds the chunk of a token, or the last chunk if `content` is `None`.
pub fn chunk<'a>(id: &'a str, model: &'a str, content: Option<&'a str>) -> ChatChunk<'a> {
    let finish_reason = content.is_none().then_some("stop");
    ChatChunk {
        id,
        object: "chat.completion.chunk",
        model,
        choices: [ChunkChoice {
            index: 0,
            delta: Delta { content },
            finish_reason,
        }],
    }
}

/// Builds the body of an answer that is not streamed.
pub fn completion(id: &str, model: &str, text: &str, prompt: usize, tokens: u32) -> Vec<u8> {
    let body = serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt as u64 + u64::from(tokens),
        },
    });
    body.to_string().into_bytes()
}
