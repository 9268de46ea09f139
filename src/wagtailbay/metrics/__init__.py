"""OpenTelemetry metrics of the programs, exposed in the Prometheus format."""

from wagtailbay.metrics.exporter import Exporter, build_exporter
from wagtailbay.metrics.instruments import Metrics

__all__ = ["Exporter", "Metrics", "build_exporter"]
