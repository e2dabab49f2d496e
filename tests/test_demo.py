"""Test that the demonstration reports failures and its sites start."""

import asyncio
import pathlib

import pytest

from emulator import demo, demo_error, demo_steps, launcher, running_site, sites


def test_failed_start_is_reported(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def fail(*_: object) -> None:
        raise demo_error.DemoError('no luck')

    monkeypatch.setattr(demo_steps.DemoSteps, 'start', fail)
    assert demo.main(['--site', 'trilha']) == 1
    assert 'no luck' in capsys.readouterr().err


@pytest.mark.parametrize('name', sorted(sites.SITE_BY_NAME))
def test_platform_and_servers_start(name: str, tmp_path: pathlib.Path) -> None:
    async def run() -> running_site.RunningSite:
        async with launcher.Launcher(tmp_path) as process_launcher:
            running = running_site.RunningSite(
                process_launcher, sites.SITE_BY_NAME[name], tmp_path
            )
            await running.start_platform_and_servers([1, 2, 3])
            return running

    running = asyncio.run(run())
    engines = sum(pool.engines for pool in running.site.pools)
    assert len(running.engine_by_id) == engines
    assert not any(
        process.is_running for process in running.engine_by_id.values()
    )
