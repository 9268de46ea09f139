"""Serve callers by the routing table: admit, place, send and answer each request."""

from wagtailbay.gateway.models import CallerMetadata, GatewayRequest, HeaderCodec, TargetMetadata

__all__ = ["CallerMetadata", "GatewayRequest", "HeaderCodec", "TargetMetadata"]
