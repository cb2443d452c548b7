//! Chat requests: what is checked of them, and what routing needs to know.

use serde_json::Value;

/// Tokens of answer when the request does not bound them.
const DEFAULT_TOKENS: u64 = 512;

/// A checked chat request.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model's service.
    pub model: String,
    /// Whether the caller wants pieces.
    pub stream: bool,
    /// Pieces of answer at most.
    pub most: u64,
    /// What the model reads.
    pub prompt: String,
    /// As the caller sent it.
    pub body: Value,
}

impl Chat {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// A sentence that names the field and what it should be.
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
        for message in messages {
            let role = message["role"]
                .as_str()
                .ok_or("each message's role must be text")?;
            let content = message["content"]
                .as_str()
                .ok_or("each message's content must be text")?;
            prompt.push_str(role);
            prompt.push('\n');
            prompt.push_str(content);
            prompt.push('\n');
        }
        let stream = match &value["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err("stream must be true or false".to_owned()),
        };
        let most = match &value["max_tokens"] {
            Value::Null => DEFAULT_TOKENS,
            Value::Number(number) => number
                .as_u64()
                .filter(|most| (1..=1_000_000).contains(most))
                .ok_or("max_tokens must be from 1 to 1000000")?,
            _ => return Err("max_tokens must be a number".to_owned()),
        };
        Ok(Chat { model, stream, most, prompt, body: value })
    }

    /// About how many tokens the prompt has.
    pub fn prompt_tokens(&self) -> u32 {
        (self.prompt.len() / 4) as u32
    }
}
