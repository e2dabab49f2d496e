"""Register the marker of proofs and mark known failures as xfail."""

import eliot
import pytest

from emulator import known_red


@pytest.fixture
def messages():
    """Collect the messages that are logged during a test."""
    collected: list[dict] = []
    eliot.add_destinations(collected.append)
    # The first destination gets what was logged before it was added.
    collected.clear()
    yield collected
    eliot.remove_destination(collected.append)


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line(
        'markers',
        'point(number, fault): prove a numbered requirement under a fault',
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        entry = known_red.ENTRY_BY_TEST.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry, strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    for entry in known_red.ENTRY_BY_TEST.values():
        terminalreporter.write_line(f'known red: {entry}')
