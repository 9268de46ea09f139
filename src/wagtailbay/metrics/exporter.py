"""Set up OpenTelemetry and serve scrapes."""

from attrs import frozen
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from wagtailbay.metrics.const import METER_NAME, SCRAPE_PATH
from wagtailbay.metrics.instruments import Metrics
from wagtailbay.transport import Reply, Request


@frozen
class Exporter:
    """Serves the metrics of one program to scrapes.

    The program's own event loop serves scrapes, so that no thread polls for them.
    """

    registry: CollectorRegistry
    metrics: Metrics

    def render_text(self) -> bytes:
        """Return all time series in the Prometheus text format."""
        return generate_latest(self.registry)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer a request to the scrape address."""
        if request.method != "GET" or request.path.partition("?")[0] != SCRAPE_PATH:
            # Without a body, since a response to HEAD must not have one.
            await reply.start(404, (("Content-Length", "0"),))
            await reply.finish()
            return
        content_type = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        await reply.send_response(200, (content_type,), self.render_text())


def build_exporter(program: str, vm: str = "") -> Exporter:
    """Build the metrics of a program and their Prometheus exporter."""
    registry = CollectorRegistry()
    reader = PrometheusMetricReader(registry=registry, scope_info_enabled=False)
    resource = Resource({"service.name": program, "service.instance.id": vm})
    provider = MeterProvider(
        [reader],
        resource=resource,
        # There are no traces for exemplars to refer to; looking for them took 6 us per request.
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    return Exporter(registry, Metrics(provider.get_meter(METER_NAME)))
