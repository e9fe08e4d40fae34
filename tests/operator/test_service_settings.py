"""Changed settings of a service apply to its existing scheduler without a restart."""

from __future__ import annotations

from random import Random

from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_model.operator_file import Service, ServiceKind


def test_scheduler_settings_follow_the_service_definition() -> None:
    controller = SchedulingController("milano-a", Random(1))
    drafts = Service("drafts", ServiceKind.MODEL, "m")
    controller.on_service_settings([drafts])
    scheduler = controller.scheduler("drafts")
    changed_drafts = Service(
        "drafts", ServiceKind.MODEL, "m", long_share=0.25, queue_count=2, queue_bytes=2_000_000
    )
    controller.on_service_settings([changed_drafts, Service("desk", ServiceKind.PLAIN)])
    assert controller.scheduler("drafts") is scheduler
    assert scheduler.endpoint_tracker.settings.long_share == 0.25
    assert scheduler.queue.settings.queue_count == 2
    assert scheduler.queue.settings.queue_bytes == 2_000_000
    assert controller.scheduler("desk").queue.settings.queue_count == 1_024
