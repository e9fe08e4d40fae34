"""``bergamotchute explain --call``: show where an entry would send a request now, and why."""

from __future__ import annotations

import argparse
import json
from typing import Any

import httpx

from bergamotchute_cli.command_error import CommandError, unreachable_error, usage_error
from bergamotchute_cli.exit_code import ExitCode

REQUEST_TIMEOUT_S = 5.0


def add_call_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that only an explanation of a call has."""
    parser.add_argument("--at", default="", metavar="ADDRESS", help="metrics address of the entry")
    parser.add_argument("--as", default="", dest="caller", metavar="TEAM", help="the caller's team")
    parser.add_argument("--time-left", metavar="SECONDS", help="the time that the caller has left")


def run_explain_call(options: argparse.Namespace) -> int:
    """Ask the entry and print its answer, and return the exit code."""
    if not options.at:
        raise usage_error("--at: give the metrics address of the entry")
    host, _, path = options.call.partition("/")
    query = {"host": host, "path": f"/{path}", "team": options.caller}
    if options.time_left is not None:
        query["time_left_s"] = options.time_left
    try:
        response = httpx.get(
            f"http://{options.at}/explain", params=query, timeout=REQUEST_TIMEOUT_S
        )
    except httpx.InvalidURL as error:
        raise usage_error(f"{options.at}: {error}") from error
    except httpx.HTTPError as error:
        raise unreachable_error(f"{options.at}: {error or type(error).__name__}") from error
    if response.status_code == httpx.codes.BAD_REQUEST:
        raise CommandError(ExitCode.REFUSED, response.text)
    if response.status_code != httpx.codes.OK:
        raise unreachable_error(f"{options.at}: status {response.status_code}")
    if options.output == "json":
        print(response.text)
    else:
        _print_explanation(json.loads(response.content))
    return ExitCode.OK


def _print_explanation(explanation: dict[str, Any]) -> None:
    for name in ("version", "entries", "stopping"):
        if name in explanation:
            print(f"{name}: {explanation[name]}")
    route = explanation.get("route")
    if route:
        print(f"route: {route['name']} {route['host']}{route['path_prefix']} ({route['kind']})")
        print(f"objective: {route['objective_s']:g} s, at most {route['max_endpoints']} endpoints")
    if "refused" in explanation:
        print(f"refused: {explanation['refused']}")
        return
    print(f"team: {explanation['team'] or '-'}, priority {explanation['priority']}")
    print(f"deadline: {explanation['deadline_s']:g} s")
    for service in explanation["services"]:
        _print_service(service)


def _print_service(service: dict[str, Any]) -> None:
    print(f"service: {service['service']} (weight {service['weight']}): {service['outcome']}")
    limits = f"queue of an endpoint {service['queue_length']}"
    if service["max_connections"]:
        limits += f", connections of an endpoint {service['max_connections']}"
    if service["cold_most_per_s"]:
        limits += f", cold endpoints {service['cold_most_per_s']} requests in a second"
    print(f"limits: {limits}")
    print(f"{'PLACE':>5} {'ENDPOINT':<24} {'ZONE':<10} {'USED':>5} {'RATE':>6} {'COLD':>5} AGENT")
    for each in service["endpoints"]:
        rate = "-" if each["requests_per_s"] is None else f"{each['requests_per_s']:g}"
        cold = f"{each['cold_left_s']:g}" if each["cold_left_s"] else "-"
        print(
            f"{each['rank'] or '-':>5} {each['endpoint']:<24} {each['availability_zone']:<10}"
            f" {each['utilization']:>5.2f} {rate:>6} {cold:>5} {each['agent']}"
        )
        for obstacle in each["obstacles"]:
            print(f"{'':>5} {obstacle}")
    if service["omitted_count"]:
        print(f"{'':>5} and {service['omitted_count']} other endpoints")
