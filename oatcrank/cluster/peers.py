"""Talk to other instances: HTTP with JSON."""

import abc
from typing import TypeVar

import msgspec

from oatcrank import errors
from oatcrank.cluster import holding, peer_messages
from oatcrank.transport import calls
from oatcrank.transport import errors as transport_errors

PATH = '/peer/'
OK = 200

Answer = TypeVar('Answer', bound=msgspec.Struct)


class PeerUnreachable(errors.OatcrankError):
    """Report that an instance has not answered a message."""


class PeerGone(PeerUnreachable):
    """Report that no process listens at an instance's address."""


class Peer(abc.ABC):
    """Answer the messages of other instances."""

    @abc.abstractmethod
    async def arrange(
        self,
        query: peer_messages.ArrangeQuery,
    ) -> peer_messages.Arranged:
        """Have something loaded."""

    @abc.abstractmethod
    async def demand(
        self,
        report: peer_messages.DemandReport,
    ) -> peer_messages.Done:
        """Take what callers of another instance ask for."""

    @abc.abstractmethod
    async def crashes(
        self,
        report: peer_messages.CrashReport,
    ) -> peer_messages.Done:
        """Take suspects that another instance has found."""

    @abc.abstractmethod
    async def vouch(
        self,
        query: peer_messages.VouchQuery,
    ) -> peer_messages.Vouched:
        """Say whether a holder is still the newest known."""

    @abc.abstractmethod
    async def holder(
        self,
        newest: holding.Holding,
    ) -> peer_messages.Done:
        """Take who the new holder is."""

    @abc.abstractmethod
    async def unloads(
        self,
        news: peer_messages.UnloadNews,
    ) -> peer_messages.Done:
        """Take that a server is about to drop a model."""

    @abc.abstractmethod
    async def stop(
        self,
        query: peer_messages.StopQuery,
    ) -> peer_messages.Stopped:
        """Give no more orders."""


class Client:
    """Send messages to other instances by their addresses."""

    async def ask(
        self,
        address: str,
        word: str,
        question: msgspec.Struct,
        expected: type[Answer],
        within_s: float,
    ) -> Answer:
        """Return an instance's answer or raise PeerUnreachable."""
        try:
            called = await calls.call(
                address,
                calls.Call(
                    method='POST',
                    target=PATH + word,
                    body=msgspec.json.encode(question),
                ),
                within_s,
            )
        except transport_errors.Refused as error:
            raise PeerGone(f'{word}: {error}') from error
        except errors.BackendError as error:
            raise PeerUnreachable(f'{word}: {error}') from error
        if called.status != OK:
            raise PeerUnreachable(f'{word}: {address} said {called.status}')
        try:
            return msgspec.json.decode(called.body, type=expected)
        except msgspec.MsgspecError as error:
            raise PeerUnreachable(f'{word}: {address}: {error}') from error
