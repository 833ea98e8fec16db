"""Generated record ids are kept as strings by the command-line parser.

Fire parses arguments that look like numbers, such as ``1e5``, as numbers.
"""

import uuid

import pytest
from fire.parser import DefaultParseValue

from coltsfootseam.cli.contract import make_record_id


@pytest.mark.parametrize(
    "number", [0x12345678901234567890123456789012, 0x1E5, 0x7]
)
def test_a_made_record_id_is_not_read_as_a_number(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(uuid, "uuid4", lambda: uuid.UUID(int=number))
    record_id = make_record_id()
    assert DefaultParseValue(record_id) == record_id
