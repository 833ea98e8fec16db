"""Documents that must match the code."""

import pathlib
import re

from coltsfootseam.results import ResultCode, http_status_for_code, is_not_run

ROOT = pathlib.Path(__file__).parents[2]


def test_every_result_code_is_documented() -> None:
    text = (ROOT / "docs/result-codes.md").read_text()
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", text, re.MULTILINE)
    documented = {(int(number), name) for number, name in rows}
    assert documented == {(int(code), code.name) for code in ResultCode}


def test_codes_fit_exit_codes_and_have_an_http_status() -> None:
    for code in ResultCode:
        assert 0 <= code <= 125
        assert 200 <= http_status_for_code(code) <= 599


def test_not_run_codes_are_those_that_promise_it() -> None:
    promised = {code for code in ResultCode if is_not_run(code)}
    numbered = {code for code in ResultCode if 50 <= code < 60}
    assert promised == numbered | {
        ResultCode.NOT_RUN_NEVER_FITS,
        ResultCode.NOT_RUN_TOO_LARGE,
        ResultCode.NOT_RUN_ENCODED,
    }


def test_every_proof_names_a_test_that_exists() -> None:
    text = (ROOT / "docs/proofs.md").read_text()
    named = re.findall(r"(tests/\w+/test_\w+\.py)::(\w+)", text)
    assert named
    for path, name in named:
        assert name in (ROOT / path).read_text(), f"{path}::{name}"
