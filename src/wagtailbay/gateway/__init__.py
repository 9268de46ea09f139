"""HTTP gateway: admits requests, selects targets and forwards requests by the routing table."""

from wagtailbay.gateway.models import CallerMetadata, GatewayRequest, HeaderCodec, TargetMetadata

__all__ = ["CallerMetadata", "GatewayRequest", "HeaderCodec", "TargetMetadata"]
