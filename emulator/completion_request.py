"""Define the body of a completion request."""

import msgspec

DEFAULT_TOKENS = 16


class Message(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    prompt: str = ''
    messages: tuple[Message, ...] = ()
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False
    request_id: str = ''
    adapter: str = ''
    priority: int = 0
    prefix_id: str = ''
    resume_from: int = 0

    @property
    def text(self) -> str:
        """Return the prompt, or the conversation as one text."""
        if not self.messages:
            return self.prompt
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )
