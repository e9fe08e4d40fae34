"""The catalogue of numbered events; docs/EVENTS.md documents the same events."""

from __future__ import annotations

import logging
from dataclasses import dataclass


@dataclass(frozen=True)
class EventKind:
    """A kind of event in the timeline.

    :param number: stable identifier; never reused with another meaning.
    :param name: short name in logs.
    :param level: log level, as in :mod:`logging`.
    :param meaning: description for the catalogue, one sentence.
    """

    number: int
    name: str
    level: int
    meaning: str


EVENT_KIND_BY_NUMBER: dict[int, EventKind] = {}


def _define_event_kind(
    number: int, name: str, meaning: str, level: int = logging.INFO
) -> EventKind:
    """Create a kind of event and add it to the catalogue.

    :raises ValueError: if the number is already in use.
    """
    if number in EVENT_KIND_BY_NUMBER:
        raise ValueError(f"event number {number} is already defined; use a new number")
    kind = EventKind(number, name, level, meaning)
    EVENT_KIND_BY_NUMBER[number] = kind
    return kind


# 1000-1099: processes.
PROCESS_STARTED = _define_event_kind(
    1000, "process_started", "A process started; fields give its settings."
)
PROCESS_READY = _define_event_kind(1001, "process_ready", "A process began to serve.")
PROCESS_DRAINING = _define_event_kind(
    1002, "process_draining", "A process was told to stop and drains."
)
PROCESS_STOPPED = _define_event_kind(1003, "process_stopped", "A process ended in order.")
DRAIN_TIMED_OUT = _define_event_kind(
    1004, "drain_overrun", "Work outlasted the drain bound and was cut off.", logging.ERROR
)
LINK_OPENED = _define_event_kind(1010, "link_opened", "A link to a peer opened.")
LINK_CLOSED = _define_event_kind(1011, "link_closed", "A link to a peer closed.")
LINK_SILENT = _define_event_kind(
    1012, "link_mute", "A link went silent and is being replaced.", logging.WARNING
)
LINK_REPLACED = _define_event_kind(
    1013, "link_replaced", "A control VM opened a new link; its earlier ones were closed."
)
PARENTS_CHANGED = _define_event_kind(
    1014,
    "parents_changed",
    "An entry or agent follows other control VMs that know a leader than before.",
)
EVENT_LOOP_DELAYED = _define_event_kind(
    1015,
    "event_loop_delayed",
    "A timer ran late: the process had other work, or its VM stood still.",
    logging.WARNING,
)

# 1100-1199: requests in an entry.
REQUEST_RECEIVED = _define_event_kind(
    1100, "request_received", "A caller's request was read in full."
)
REQUEST_REFUSED = _define_event_kind(
    1101, "request_refused", "A request was refused; it did not run."
)
REQUEST_DISPATCHED = _define_event_kind(
    1102, "request_dispatched", "An attempt was sent to an endpoint."
)
REQUEST_COMPLETED = _define_event_kind(
    1103, "request_completed", "A whole answer was given to its caller."
)
REQUEST_FAILED = _define_event_kind(
    1104, "request_failed", "A request ended without a whole answer.", logging.WARNING
)
REQUEST_RETRIED = _define_event_kind(
    1105, "request_retried", "A request goes on at another endpoint."
)
AGENT_SILENT = _define_event_kind(
    1108, "agent_silent", "An agent did not answer; requests go on without its reservations."
)
PERMIT_REFUSED = _define_event_kind(
    1130, "permit_refused", "A request can't be sent to an endpoint in time at the endpoint's rate."
)
PERMITS_UNAVAILABLE = _define_event_kind(
    1131,
    "permits_unavailable",
    "No control VM granted a permit; the entry uses its own part of the endpoint's rate.",
    logging.WARNING,
)
HEDGE_SENT = _define_event_kind(
    1140, "hedge_sent", "A request whose endpoint is slow was sent to a second endpoint."
)
HEDGE_WON = _define_event_kind(
    1141, "hedge_won", "The second endpoint answered first; the first one was cut off."
)
HEDGE_LOST = _define_event_kind(
    1142, "hedge_lost", "The second endpoint failed or was slower, and was cut off."
)
HEDGE_NOT_SENT = _define_event_kind(
    1143, "hedge_not_sent", "A request whose endpoint is slow was not sent to a second endpoint."
)
CALLER_TOO_SLOW = _define_event_kind(
    1144,
    "caller_too_slow",
    "A stream was cut off: its caller read the slowest, and too much waited for callers.",
    logging.WARNING,
)
REQUEST_NOT_RETRIED = _define_event_kind(
    1107, "request_not_retried", "A failed request is not tried at another endpoint."
)
RESPONSE_DROPPED = _define_event_kind(
    1106,
    "answer_dropped",
    "An answer matched no attempt in flight and was dropped.",
    logging.WARNING,
)
CLAIM_TAKEN = _define_event_kind(
    1110, "claim_taken", "A non-idempotent request was claimed by its key."
)
CLAIM_SETTLED = _define_event_kind(
    1111, "claim_settled", "The outcome of a claimed request was recorded."
)
CLAIM_RELEASED = _define_event_kind(
    1112, "claim_released", "A claimed attempt was proved not to have run."
)
CLAIM_UNSETTLED = _define_event_kind(
    1114, "claim_unsettled", "An outcome could not be recorded in time.", logging.WARNING
)
ENDPOINT_CRASHED = _define_event_kind(
    1120,
    "endpoint_crashed",
    "An endpoint ended a request's connection before its first event, and refuses new ones.",
    logging.WARNING,
)
PROMPT_PART_PROBED = _define_event_kind(
    1121,
    "prompt_part_probed",
    "A request that may crash endpoints, or with such a part, is sent alone.",
)
PROMPT_PART_CLEARED = _define_event_kind(
    1122, "prompt_part_cleared", "A request or part that was suspected of crashes is sound."
)
PROMPT_PART_QUARANTINED = _define_event_kind(
    1123,
    "prompt_part_quarantined",
    "A request or part crashed endpoints; it is rejected for some time.",
    logging.WARNING,
)
REQUEST_LOST_IN_CRASH = _define_event_kind(
    1124,
    "request_lost_in_crash",
    "A request waited for its first event at an endpoint that crashed; its digest names its content.",
    logging.WARNING,
)
CLAIM_REPLAYED = _define_event_kind(1113, "claim_replayed", "A resend got the recorded outcome.")

# 1200-1299: attempts in an agent.
ATTEMPT_STARTED = _define_event_kind(
    1200, "attempt_started", "An agent gave an attempt to its endpoint."
)
ATTEMPT_COMPLETED = _define_event_kind(
    1201, "attempt_completed", "An endpoint gave a whole answer."
)
ATTEMPT_FAILED = _define_event_kind(
    1202, "attempt_failed", "An attempt ended without a whole answer.", logging.WARNING
)
ATTEMPT_DROPPED = _define_event_kind(
    1205,
    "attempt_dropped",
    "An attempt that was to replace a silent one was closed: that one went on, or the request ended.",
)
ATTEMPT_BARRED = _define_event_kind(
    1203, "attempt_barred", "An attempt was barred; it can never start."
)
ATTEMPT_REFUSED = _define_event_kind(
    1204, "attempt_refused", "An agent refused an attempt; it did not run."
)

# 1300-1399: the control group.
LEADER_ELECTED = _define_event_kind(1300, "leader_elected", "A voter became leader of its term.")
LEADER_STEPPED_DOWN = _define_event_kind(1301, "leader_stepped_down", "A leader gave up its term.")
MEMBERSHIP_CHANGED = _define_event_kind(
    1302, "membership_changed", "The voters and learners of the log changed by one."
)
CLUSTER_FOUNDED = _define_event_kind(
    1303, "cluster_founded", "A voter founded a new control group."
)
SNAPSHOT_INSTALLED = _define_event_kind(
    1304, "snapshot_installed", "A voter took over a leader's snapshot."
)
VOTER_DISK_FAILED = _define_event_kind(
    1305,
    "voter_disk_failed",
    "A voter's disk refused a write; it takes no part until the folder can be opened again.",
    logging.ERROR,
)
VOTER_FOLDER_DAMAGED = _define_event_kind(
    1306,
    "voter_refuses",
    "A voter found its folder damaged and takes no part; empty the folder to make it new.",
    logging.ERROR,
)
FORWARDED_ANSWER_UNMATCHED = _define_event_kind(
    1307,
    "forwarded_answer_unmatched",
    "A leader's answer matches no request that waits here: it came late or twice.",
    logging.WARNING,
)
VOTER_DISK_RECOVERED = _define_event_kind(
    1308, "voter_disk_recovered", "A voter opened its folder again after a failure of its disk."
)
CONTROL_GROUP_LOST = _define_event_kind(
    1309,
    "control_group_lost",
    "A control VM has no leader that reaches a quorum; its followers link to others.",
    logging.WARNING,
)
FILE_APPLIED = _define_event_kind(1310, "file_applied", "A file came into force.")
FILE_REFUSED = _define_event_kind(1311, "file_refused", "A file was refused.", logging.WARNING)
PLANNED_CHANGE_BEGUN = _define_event_kind(
    1312, "planned_change_begun", "A planned change has begun."
)
CONTROL_GROUP_REACHED = _define_event_kind(
    1313, "control_group_reached", "A control VM has a leader again."
)

# 1400-1499: views and membership.
VIEW_CONFIRMED = _define_event_kind(
    1400, "view_confirmed", "A process holds a view that a quorum confirmed."
)
VIEW_EXPIRED = _define_event_kind(
    1401, "view_expired", "A process lost its view lease and takes no new work.", logging.WARNING
)
VIEW_ADVANCED = _define_event_kind(
    1402, "view_advanced", "A process took a newer revision into use."
)
VIEW_UNREADABLE = _define_event_kind(
    1403, "view_unreadable", "The files in force can't be merged here.", logging.ERROR
)
VIEW_OUTDATED = _define_event_kind(
    1404,
    "view_outdated",
    "A configuration is older than the version that a quorum confirmed; it was not used.",
    logging.WARNING,
)
FOLLOWERS_CONFIRMED = _define_event_kind(
    1405,
    "followers_confirmed",
    "A quorum confirmed the state of a control VM, which new followers are sent.",
)
MEMBER_JOINED = _define_event_kind(1410, "member_joined", "An endpoint or entry announced itself.")
MEMBER_LAPSED = _define_event_kind(
    1411, "member_lapsed", "A member's lease lapsed.", logging.WARNING
)
MEMBER_DRAINING = _define_event_kind(1412, "member_draining", "A member takes no new work.")
ENDPOINT_STATE_CHANGED = _define_event_kind(
    1420, "endpoint_heard", "An endpoint's heartbeat changed what is believed of it."
)
ENDPOINT_SILENT = _define_event_kind(
    1421, "endpoint_quiet", "No heartbeat of an endpoint came for some time.", logging.WARNING
)
ENDPOINT_PAUSED = _define_event_kind(
    1424, "endpoint_paused", "An endpoint refused a request and wants none for some time."
)
ENDPOINT_RATE_LIMITED = _define_event_kind(
    1425, "endpoint_rate_limited", "An endpoint named, changed or ended a limit of its requests."
)
RATE_LIMIT_UNREADABLE = _define_event_kind(
    1426,
    "rate_limit_unreadable",
    "An endpoint named a limit that is no number; the limit known before holds.",
    logging.WARNING,
)
DEPARTURE_UNCONFIRMED = _define_event_kind(
    1422,
    "departure_unsure",
    "The log could not record in time that an endpoint leaves.",
    logging.WARNING,
)
CONFIGURATION_PUT = _define_event_kind(
    1430, "configuration_put", "An operator's configuration was committed."
)
CONFIGURATION_UNCONFIRMED = _define_event_kind(
    1431,
    "configuration_unsure",
    "The log could not confirm an operator's configuration in time.",
    logging.WARNING,
)
CONFIGURATION_READ = _define_event_kind(
    1434, "configuration_read", "A quorum confirmed the configuration that an operator was sent."
)
CONFIGURATION_READ_UNCONFIRMED = _define_event_kind(
    1433,
    "configuration_read_unsure",
    "The log could not confirm in time which configuration is the newest.",
    logging.WARNING,
)
CONFIGURATION_REFUSED = _define_event_kind(
    1432, "configuration_refused", "An operator's configuration is invalid.", logging.WARNING
)
EVACUATION_ORDERED = _define_event_kind(
    1440, "evacuation_ordered", "An operator's order to evacuate a zone, or to end it, is in force."
)
EVACUATION_UNCONFIRMED = _define_event_kind(
    1441,
    "evacuation_unsure",
    "The log could not confirm an operator's order on a zone in time.",
    logging.WARNING,
)
EVACUATION_REFUSED = _define_event_kind(
    1442,
    "evacuation_refused",
    "An operator's order names a zone that is not known here.",
    logging.WARNING,
)
EVACUATION_CHANGED = _define_event_kind(
    1443,
    "evacuation_changed",
    "An entry stopped or resumed sending requests to a zone's endpoints.",
)
SETTINGS_RELOADED = _define_event_kind(
    1005, "settings_reloaded", "A process read its settings again."
)
HEARTBEAT_UNREADABLE = _define_event_kind(
    1423,
    "heartbeat_unreadable",
    "A heartbeat can't be read; it names no endpoint.",
    logging.WARNING,
)

# 1500-1599: changes of expert maps by the commander of a rank group.
COMMANDER_ASSIGNED = _define_event_kind(
    1500, "commander_assigned", "An agent heard who commands its group."
)
GROUP_COMMAND_STARTED = _define_event_kind(
    1501, "command_taken", "An agent began to command its rank group."
)
MAP_CHANGED = _define_event_kind(
    1502, "map_changed", "A commander tried to change its group's map."
)
MAP_CLEANED_UP = _define_event_kind(
    1503, "map_cleaned", "A commander ended arms and holds that were left."
)
RANK_SILENT = _define_event_kind(
    1504, "rank_silent", "A rank gave no readable answer.", logging.WARNING
)
RANK_RECOVERED = _define_event_kind(1505, "rank_heard", "A rank that was silent answers again.")
GROUP_CHANGED = _define_event_kind(
    1506, "group_changed", "An entry heard of a rank group or of its state."
)
ENDPOINT_PACE_CHANGED = _define_event_kind(
    1509, "endpoint_pace", "An entry heard that an endpoint is slow, or no longer slow."
)
RANK_PACE_CHANGED = _define_event_kind(
    1508, "rank_pace", "A rank's part of each pass became slower or faster, or its pace unreadable."
)
ORDER_UNREADABLE = _define_event_kind(
    1507, "order_unreadable", "An agent could not read a commander's order.", logging.WARNING
)
