"""HTTP handler for completions."""

from typing import Any

import msgspec

from oatcrank import fingerprints, ids, refusal
from oatcrank.configuration import profile
from oatcrank.entry import caller_handler, dispatch_request, request_head

# Fields that may differ between resends, so the fingerprint ignores them.
UNSTABLE_FIELDS = frozenset(('request_id', 'user', 'stream', 'resume_from'))


class Completion(msgspec.Struct, frozen=True):
    """Define the fields of the body that oatcrank checks."""

    model: str
    prompt: str | None = None
    messages: list[dict[str, Any]] | None = None
    adapter: str | None = None
    max_tokens: int | None = None
    stream: bool = False
    prefix_id: str | None = None


class CompletionHandler(caller_handler.CallerHandler):
    """Answer `/v1/completions` and `/v1/chat/completions`."""

    async def post(self) -> None:
        """Serve one completion."""
        body = self.decode(Completion)
        profile = self.requested_profile()
        _check_profile(profile, body)
        payload = msgspec.json.decode(self.request.body)
        request = dispatch_request.ModelRequest(
            path=self.request.path,
            payload=payload,
            request_id=self.request_head.request_id,
            profile=profile,
            fingerprint=_fingerprint(self.request.path, payload),
            arrived_at=self.dependencies.clock.now(),
        )
        self.dependencies.queue.arrivals_by_model[request.model] += 1
        await self.run(request, self._serve(request))

    async def _serve(self, request: dispatch_request.ModelRequest) -> None:
        if request.profile.at_most_once:
            await self.dependencies.at_most_once_runner.run(
                request,
                self.request_head.idempotency_key,
                self.dependencies.model_dispatcher,
                self.response_writer,
            )
        else:
            await self.dependencies.model_dispatcher.run(
                request, self.response_writer
            )


def _check_profile(
    profile: profile.Profile,
    body: Completion,
) -> None:
    if body.prompt is None and body.messages is None:
        raise request_head.bad_request('body: prompt or messages is required')
    if ids.ModelName(body.model) not in profile.models:
        raise request_head.bad_request(
            f'profile {profile.name} does not cover model {body.model}',
            code=refusal.Code.unknown_model,
        )
    adapter = ids.AdapterName(body.adapter or '')
    if adapter and adapter not in profile.adapters:
        raise request_head.bad_request(
            f'profile {profile.name} does not cover adapter {adapter}',
            code=refusal.Code.unknown_adapter,
        )


def _fingerprint(path: str, payload: dict[str, Any]) -> int:
    stable_fields = {
        name: field
        for name, field in sorted(payload.items())
        if name not in UNSTABLE_FIELDS
    }
    return fingerprints.fingerprint(
        path.encode(),
        msgspec.json.encode(stable_fields),
    )
