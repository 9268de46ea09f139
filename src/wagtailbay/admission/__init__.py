"""Order the requests of a service while its targets lack capacity."""

from wagtailbay.admission.controller import AdmissionController
from wagtailbay.admission.models import (
    AdmissionRequest,
    AdmissionSettings,
    QueuedRequest,
    QueueOutcome,
    Standing,
)
from wagtailbay.admission.queue import AdmissionQueue
from wagtailbay.admission.refused import RefusedCallers, RetryPlanner

__all__ = [
    "AdmissionController",
    "AdmissionQueue",
    "AdmissionRequest",
    "AdmissionSettings",
    "QueueOutcome",
    "QueuedRequest",
    "RefusedCallers",
    "RetryPlanner",
    "Standing",
]
