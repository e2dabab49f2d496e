"""Test that the load tool sends every request and verifies answers."""

import asyncio
import pathlib

import msgspec
import pytest
from tornado import web

from emulator import __main__ as emulator_main
from emulator import answer_text, completion_request, load_report, stand_in


class CorrectHandler(web.RequestHandler):
    """Generate the expected answer of the requested model."""

    def get(self) -> None:
        self.finish({'addresses': [self.request.host], 'keep_s': 60})

    def post(self) -> None:
        request = msgspec.json.decode(
            self.request.body, type=completion_request.CompletionRequest
        )
        seed = answer_text.seed(request.model, request.adapter, request.prompt)
        texts = [
            answer_text.token(seed, index)
            for index in range(request.max_tokens)
        ]
        for index, text in enumerate(texts):
            self.write(f'data: {{"index": {index}, "text": "{text}"}}\n\n')
        digest = answer_text.digest(texts)
        self.finish(f'data: {{"digest": "{digest}"}}\n\ndata: [DONE]\n\n')


def run_load(
    path: pathlib.Path,
    *,
    reachable: bool,
    processes: int,
) -> tuple[int, load_report.LoadReport]:
    async def run() -> int:
        app = web.Application([('/.*', CorrectHandler)])
        async with stand_in.listening(app) as address:
            known = address if reachable else '127.0.0.1:1'
            words = f'--known {known} --profile p --model m n --rate 200'
            rest = f'--seconds 0.2 --tokens 3 --processes {processes}'
            arguments = ['load', *words.split(), *rest.split()]
            arguments.extend(('--json', str(path)))
            return await asyncio.to_thread(emulator_main.main, arguments)

    status = asyncio.run(run())
    return status, msgspec.json.decode(
        path.read_bytes(), type=load_report.LoadReport
    )


@pytest.mark.parametrize(
    ('reachable', 'processes', 'status', 'outcome'),
    [
        (True, 1, 0, 'answered'),
        (True, 2, 0, 'answered'),
        (False, 1, 1, 'unreachable'),
    ],
)
def test_load(
    reachable: bool,
    processes: int,
    status: int,
    outcome: str,
    tmp_path: pathlib.Path,
) -> None:
    ended, report = run_load(
        tmp_path / 'report.json', reachable=reachable, processes=processes
    )
    assert ended == status
    assert report.sent > 10
    assert report.count_by_outcome == {outcome: report.sent}
    assert bool(report.milliseconds_by_measure['whole answer']) is reachable
