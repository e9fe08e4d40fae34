"""What a file says of a service counts at its scheduler from the next decision on."""

from __future__ import annotations

from random import Random

from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_model.operator_file import Service, ServiceKind


def test_bounds_follow_the_files() -> None:
    controller = SchedulingController("milano-a", Random(1))
    drafts = Service("drafts", ServiceKind.MODEL, "m")
    controller.on_service_settings([drafts])
    scheduler = controller.scheduler("drafts")
    bounds = Service(
        "drafts", ServiceKind.MODEL, "m", long_share=0.25, queue_count=2, queue_bytes=2_000_000
    )
    controller.on_service_settings([bounds, Service("desk", ServiceKind.PLAIN)])
    assert controller.scheduler("drafts") is scheduler
    assert scheduler.endpoint_tracker.settings.long_share == 0.25
    assert scheduler.queue.settings.queue_count == 2
    assert scheduler.queue.settings.queue_bytes == 2_000_000
    assert controller.scheduler("desk").queue.settings.queue_count == 1_024
