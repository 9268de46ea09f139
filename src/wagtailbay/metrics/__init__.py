"""Measure the programs by OpenTelemetry; scraped in the Prometheus format or kept nowhere."""

from wagtailbay.metrics.exporter import Exporter, build_exporter
from wagtailbay.metrics.instruments import Metrics

__all__ = ["Exporter", "Metrics", "build_exporter"]
