"""``bergamotchute send``: call a service on behalf of a team."""

from __future__ import annotations

import argparse
import json
import os
import sys
from pathlib import Path

import anyio

from bergamotchute_cli.caller import Caller, CallerOutcome, CallerRequest
from bergamotchute_cli.command_error import usage_error
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.options import (
    TOKEN_FILE_VARIABLE,
    Subcommands,
    add_command,
    add_entry_options,
    add_output_option,
    get_transport,
    parse_entry_addresses,
    read_token,
)

DESCRIPTION = """Send a request as a caller.

Asks which entries to use, sends the request to the best one and prints the response as it arrives.
Retries the request, also through other entries, where that is safe: when it was not run, when it
has an idempotency key, or when running it twice does no harm.

  bergamotchute send --model booklets --prompt "A psalm for a gardener" --max-tokens 80
  bergamotchute send /v1/services/orders/orders --data '{"boxes": 1}' --key order-117
  bergamotchute send /v1/services/orders/orders/117

Exit code: 0 complete response, 1 refused, failed or interrupted, 2 usage, 3 no entry answered.
With --output json the last line on standard error holds status, code and verdict.
"""
CHAT_PATH = "/v1/chat/completions"


def add_send_command(commands: Subcommands) -> None:
    """Add the ``send`` subcommand."""
    parser = add_command(commands, "send", "call a service on behalf of a team", DESCRIPTION)
    parser.add_argument("path", nargs="?", metavar="PATH", help="path and query to call")
    parser.add_argument("--model", help="generate text with this model, as a stream")
    parser.add_argument("--prompt", default="", help="prompt to generate from, with --model")
    parser.add_argument(
        "--max-tokens", type=int, metavar="NUMBER", help="maximum tokens to generate, with --model"
    )
    parser.add_argument("--method", help="default: POST with --data, GET otherwise")
    parser.add_argument("--data", default="", help="request body; @FILE to read it from a file")
    parser.add_argument("--key", default="", help="idempotency key: run the request at most once")
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
    """Send a request and return the exit code."""
    request = build_request(options)
    caller = Caller(
        parse_entry_addresses(options),
        read_token("--token-file", options.token_file, TOKEN_FILE_VARIABLE),
        options.zone,
        options.patience,
        lambda text: print(f"bergamotchute send: {text}", file=sys.stderr),
        get_transport(options),
    )
    answer = anyio.run(caller.send, request, _write_stdout)
    _print_outcome(answer, options.output)
    if answer.is_success:
        return ExitCode.OK
    return ExitCode.REFUSED if answer.status else ExitCode.UNREACHABLE


def build_request(options: argparse.Namespace) -> CallerRequest:
    """Build the request from the options.

    :raises CommandError: when the options are incomplete or contradict each other.
    """
    if bool(options.model) == bool(options.path):
        raise usage_error("give either PATH or --model")
    if options.model:
        return CallerRequest(
            "POST", CHAT_PATH, _build_chat_body(options), options.key, options.deadline
        )
    if not options.path.startswith("/"):
        raise usage_error(f"PATH must begin with /, found {options.path!r}")
    body = _read_body(options.data)
    method = (options.method or ("POST" if body else "GET")).upper()
    return CallerRequest(method, options.path, body, options.key, options.deadline)


def _build_chat_body(options: argparse.Namespace) -> bytes:
    """Return the body of a streaming chat completion request."""
    fields: dict[str, object] = {
        "model": options.model,
        "messages": [{"role": "user", "content": options.prompt}],
        "stream": True,
    }
    if options.max_tokens is not None:
        fields["max_tokens"] = options.max_tokens
    return json.dumps(fields).encode()


def _read_body(data: str) -> bytes:
    """Return the request body given by ``--data``.

    :raises CommandError: when the file named after ``@`` can't be read.
    """
    if not data.startswith("@"):
        return data.encode()
    try:
        return Path(data[1:]).read_bytes()
    except OSError as error:
        raise usage_error(f"--data: {error}") from error


def _write_stdout(data: bytes) -> None:
    """Write part of the response body to standard output at once."""
    sys.stdout.buffer.write(data)
    sys.stdout.buffer.flush()


def _print_outcome(answer: CallerOutcome, output: str) -> None:
    """Print the outcome of the request to standard error."""
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
