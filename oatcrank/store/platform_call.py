"""Call platform services and convert their failures to errors."""

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
    """Return the raw answer.

    Raises rpc.RpcStatusError on 404, else errors.Unavailable.
    """
    try:
        return await client.fetch(
            address, 'GET', path, None, timeout_s=timeout_s
        )
    except errors.UnknownOutcome as error:
        raise errors.Unavailable(str(error)) from error
    except rpc.RpcStatusError as error:
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
    """Send a change and return the raw answer.

    Raises rpc.RpcStatusError on 409, else errors.PlatformError.
    """
    try:
        return await client.fetch(
            address, method, path, body, timeout_s=timeout_s
        )
    except rpc.RpcStatusError as error:
        if error.status == HTTPStatus.CONFLICT:
            raise
        raise error_for_refusal(error) from error


def error_for_refusal(error: rpc.RpcStatusError) -> errors.PlatformError:
    """Return the error for a change that was answered with a failure."""
    if error.status in BUSY_STATUSES:
        return errors.Unavailable(str(error))
    if error.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return errors.Unavailable(str(error))
    return errors.UnknownOutcome(str(error))
