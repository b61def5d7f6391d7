"""Run a case and turn its result into an exit code."""

import asyncio
import os
import sys
import traceback

from review.support.mesh import SetupError
from review.support.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 115.0


def run(folder, case):
    """Run `case(record, trouble)`, which returns the breaks of the rule.

    Exits with 1 if there are any, 0 without, 2 if the case could not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=trouble)
    try:
        breaks = asyncio.run(_limited(case, record, trouble))
    except (SetupError, TimeoutError, OSError) as error:
        traceback.print_exc()
        record.write("not-run", why=repr(error))
        sys.exit(NOT_RUN)
    for text in breaks:
        record.write("BROKEN", what=text)
    record.write("result", code=BROKEN if breaks else HELD)
    record.close()
    sys.exit(BROKEN if breaks else HELD)


async def _limited(case, record, trouble):
    async with asyncio.timeout(MAX_SECONDS):
        return await case(record, trouble)
