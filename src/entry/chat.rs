//! Parses and checks chat requests, and extracts what routing needs.

use serde_json::Value;

use crate::fingerprint;

/// Maximum number of answer tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 512;

/// A checked chat request.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Name of the service that runs the model.
    pub model: String,
    /// Whether the caller wants the answer streamed in pieces.
    pub stream: bool,
    /// Maximum number of pieces in the answer.
    pub max_pieces: u64,
    /// Prompt, made of the roles and contents of all messages.
    pub prompt: String,
    /// Hashes of all messages but the last. Requests with the same
    /// instructions or the same history share these parts of their prompts.
    pub shared_parts: Vec<u64>,
    /// Body as the caller sent it.
    pub body: Value,
}

impl Chat {
    /// Parses and checks the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the invalid field and the valid values.
    pub fn parse(body: &[u8]) -> Result<Chat, String> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| format!("the body is not JSON: {error}"))?;
        let model =
            value["model"].as_str().ok_or("model must be text")?.to_owned();
        let messages = value["messages"]
            .as_array()
            .filter(|messages| !messages.is_empty())
            .ok_or("messages must be a list with at least one message")?;
        let mut prompt = String::new();
        let mut shared_parts = Vec::new();
        for message in messages {
            let role = message["role"]
                .as_str()
                .ok_or("each message's role must be text")?;
            let content = message["content"]
                .as_str()
                .ok_or("each message's content must be text")?;
            let part = [role.as_bytes(), content.as_bytes()];
            shared_parts.push(fingerprint::of(&part));
            prompt.push_str(role);
            prompt.push('\n');
            prompt.push_str(content);
            prompt.push('\n');
        }
        shared_parts.pop();
        let stream = match &value["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err("stream must be true or false".to_owned()),
        };
        let max_pieces = match &value["max_tokens"] {
            Value::Null => DEFAULT_MAX_TOKENS,
            Value::Number(number) => number
                .as_u64()
                .filter(|max_pieces| (1..=1_000_000).contains(max_pieces))
                .ok_or("max_tokens must be from 1 to 1000000")?,
            _ => return Err("max_tokens must be a number".to_owned()),
        };
        Ok(Chat {
            model,
            stream,
            max_pieces,
            prompt,
            shared_parts,
            body: value,
        })
    }

    /// Estimates the number of tokens in the prompt, at four bytes per token.
    pub fn prompt_tokens(&self) -> u32 {
        (self.prompt.len() / 4) as u32
    }
}
