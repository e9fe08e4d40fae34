"""``bergamotchute send``: call a service as a team does."""

from __future__ import annotations

import argparse
import json
import os
import sys
from pathlib import Path

import anyio

from bergamotchute_cli.caller import Caller, CallerAnswer, CallerRequest
from bergamotchute_cli.command_error import usage_error
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.options import (
    TOKEN_FILE_VARIABLE,
    Commands,
    add_command,
    add_entry_options,
    add_output_option,
    entry_addresses,
    read_token,
    transport_of,
)

TEXT = """Send a request as a caller does.

Asks which entries to use, sends the request to the best, prints the answer as it comes, and sends
the request again, through other entries too, where that is safe: when it was not run, when it has
an idempotency key, or when it may run more than once anyway.

  bergamotchute send --model booklets --prompt "A psalm for a gardener" --max-tokens 80
  bergamotchute send /v1/services/orders/orders --data '{"boxes": 1}' --key order-117
  bergamotchute send /v1/services/orders/orders/117

Exit code: 0 a whole answer, 1 refused, failed or broken off, 2 usage, 3 no entry answered.
With --output json the last line on standard error says status, code and verdict.
"""
CHAT_PATH = "/v1/chat/completions"


def add_send_command(commands: Commands) -> None:
    """Add ``send`` to the commands."""
    parser = add_command(commands, "send", "call a service as a team does", TEXT)
    parser.add_argument("path", nargs="?", metavar="PATH", help="path and query to call")
    parser.add_argument("--model", help="draft with this model, as a stream")
    parser.add_argument("--prompt", default="", help="what to draft from, with --model")
    parser.add_argument("--max-tokens", type=int, metavar="NUMBER", help="with --model")
    parser.add_argument("--method", help="default: POST with --data, GET otherwise")
    parser.add_argument("--data", default="", help="body to send; @FILE for a file's content")
    parser.add_argument("--key", default="", help="idempotency key: run this at most once")
    parser.add_argument("--deadline", type=float, metavar="SECONDS")
    parser.add_argument("--zone", default="", help="the caller's availability zone")
    parser.add_argument(
        "--token-file",
        default=os.environ.get(TOKEN_FILE_VARIABLE, ""),
        metavar="FILE",
        help=f"file with the team's token (${TOKEN_FILE_VARIABLE})",
    )
    add_entry_options(parser)
    add_output_option(parser)
    parser.set_defaults(run=run_send)


def run_send(options: argparse.Namespace) -> int:
    """Send a request; return the exit code."""
    request = build_request(options)
    caller = Caller(
        entry_addresses(options),
        read_token("--token-file", options.token_file, TOKEN_FILE_VARIABLE),
        options.zone,
        options.patience,
        lambda text: print(f"bergamotchute send: {text}", file=sys.stderr),
        transport_of(options),
    )
    answer = anyio.run(caller.send, request, _write)
    _report(answer, options.output)
    if answer.is_whole:
        return ExitCode.OK
    return ExitCode.REFUSED if answer.status else ExitCode.UNREACHABLE


def build_request(options: argparse.Namespace) -> CallerRequest:
    """Return the request that the options describe.

    :raises CommandError: when they describe none.
    """
    if bool(options.model) == bool(options.path):
        raise usage_error("give either PATH or --model")
    if options.model:
        return CallerRequest("POST", CHAT_PATH, _draft(options), options.key, options.deadline)
    if not options.path.startswith("/"):
        raise usage_error(f"PATH begins with /, found {options.path!r}")
    body = _body(options.data)
    method = (options.method or ("POST" if body else "GET")).upper()
    return CallerRequest(method, options.path, body, options.key, options.deadline)


def _draft(options: argparse.Namespace) -> bytes:
    """Return the body that asks for a draft."""
    fields: dict[str, object] = {
        "model": options.model,
        "messages": [{"role": "user", "content": options.prompt}],
        "stream": True,
    }
    if options.max_tokens is not None:
        fields["max_tokens"] = options.max_tokens
    return json.dumps(fields).encode()


def _body(data: str) -> bytes:
    """Return the body that ``--data`` gives.

    :raises CommandError: when its file can't be read.
    """
    if not data.startswith("@"):
        return data.encode()
    try:
        return Path(data[1:]).read_bytes()
    except OSError as error:
        raise usage_error(f"--data: {error}") from error


def _write(data: bytes) -> None:
    """Hand an answer on as it comes."""
    sys.stdout.buffer.write(data)
    sys.stdout.buffer.flush()


def _report(answer: CallerAnswer, output: str) -> None:
    """Say how the request ended."""
    if output == "json":
        document = {
            "status": answer.status,
            "code": answer.code,
            "verdict": answer.verdict.value,
            "detail": answer.detail,
        }
        print(json.dumps(document), file=sys.stderr)
    elif answer.detail:
        text = f"bergamotchute send: {answer.detail} (verdict: {answer.verdict.value})"
        print(text, file=sys.stderr)
