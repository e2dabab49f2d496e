"""Give callers the addresses of entry instances."""

import random

import msgspec

from oatcrank.entry import json_handler, serving_dependencies
from oatcrank.membership import member

MAX_ADDRESSES = 3


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """List addresses as `ip:port`, best first, and their TTL in seconds."""

    addresses: tuple[str, ...]
    keep_s: int


class AddressHandler(json_handler.JsonHandler):
    """Answer `/v1/addresses`."""

    def initialize(
        self, dependencies: serving_dependencies.ServingDependencies
    ) -> None:
        """Use the members that this instance knows."""
        self._dependencies = dependencies

    async def get(self) -> None:
        """Return a few live instances, preferring distinct failure domains."""
        self.answer(
            Addresses(
                addresses=_select_addresses(
                    [
                        peer
                        for peer in self._dependencies.members.alive()
                        if not peer.leaving
                    ],
                ),
                keep_s=self._dependencies.settings.limits.address_keep_s,
            ),
        )


def _select_addresses(alive: list[member.Member]) -> tuple[str, ...]:
    shuffled = random.sample(alive, len(alive))
    member_by_domain: dict[str, member.Member] = {}
    for candidate in shuffled:
        member_by_domain.setdefault(candidate.failure_domain, candidate)
    one_per_domain = list(member_by_domain.values())
    others = [other for other in shuffled if other not in one_per_domain]
    return tuple(
        peer.address for peer in (one_per_domain + others)[:MAX_ADDRESSES]
    )
