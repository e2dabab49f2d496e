"""HTTP handler for calls of plain services."""

from oatcrank import fingerprints, ids, refusal
from oatcrank.entry import caller_handler, dispatch_request, request_head


class ServiceHandler(caller_handler.CallerHandler):
    """Relay `/v1/services/<service>/<path>`."""

    async def get(self, service: str, path: str) -> None:
        """Relay a GET call."""
        await self._relay(service, path)

    async def post(self, service: str, path: str) -> None:
        """Relay a POST call."""
        await self._relay(service, path)

    async def put(self, service: str, path: str) -> None:
        """Relay a PUT call."""
        await self._relay(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Relay a DELETE call."""
        await self._relay(service, path)

    async def _relay(self, service: str, path: str) -> None:
        profile = self.requested_profile()
        if ids.ServiceName(service) not in profile.services:
            raise request_head.bad_request(
                f'profile {profile.name} does not cover service {service}',
                code=refusal.Code.unknown_service,
            )
        query = f'?{self.request.query}' if self.request.query else ''
        request = dispatch_request.ServiceRequest(
            service=ids.ServiceName(service),
            method=self.request.method or 'GET',
            path=f'/{path}{query}',
            body=self.request.body,
            content_type=self.request.headers.get('Content-Type', ''),
            idempotency_key=self.request_head.idempotency_key,
            request_id=self.request_head.request_id,
            profile=profile,
            fingerprint=fingerprints.fingerprint(
                (self.request.method or '').encode(),
                self.request.uri.encode() if self.request.uri else b'',
                self.request.body,
            ),
            arrived_at=self.dependencies.clock.now(),
        )
        await self.run(request, self._serve(request))

    async def _serve(self, request: dispatch_request.ServiceRequest) -> None:
        if request.profile.at_most_once:
            await self.dependencies.at_most_once_runner.run(
                request,
                self.request_head.idempotency_key,
                self.dependencies.service_dispatcher,
                self.response_writer,
            )
        else:
            await self.dependencies.service_dispatcher.run(
                request, self.response_writer
            )
