"""Turn the refusals of outside systems into the platform's errors."""

from http import HTTPStatus

from oatcrank import errors, rpc

BUSY_STATUSES = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


async def read(
    client: rpc.Rpc,
    address: str,
    path: str,
    *,
    timeout_s: float,
) -> bytes:
    """Return a raw answer; raises errors.Unavailable, or rpc.RpcRefused."""
    try:
        return await client.fetch(
            address, 'GET', path, None, timeout_s=timeout_s
        )
    except errors.UnknownOutcome as error:
        raise errors.Unavailable(str(error)) from error
    except rpc.RpcRefused as error:
        if error.status == HTTPStatus.NOT_FOUND:
            raise
        raise errors.Unavailable(str(error)) from error


async def write(
    client: rpc.Rpc,
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    *,
    timeout_s: float,
) -> bytes:
    """Send a change; raises errors.PlatformError, or rpc.RpcRefused on 409."""
    try:
        return await client.fetch(
            address, method, path, body, timeout_s=timeout_s
        )
    except rpc.RpcRefused as error:
        if error.status == HTTPStatus.CONFLICT:
            raise
        raise refused(error) from error


def refused(error: rpc.RpcRefused) -> errors.PlatformError:
    """Return what an answer other than a success says of the change."""
    if error.status in BUSY_STATUSES:
        return errors.Unavailable(str(error))
    if error.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return errors.Unavailable(str(error))
    return errors.UnknownOutcome(str(error))
