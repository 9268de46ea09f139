"""Serve callers by the routing table: admit, place, send and answer each request."""

from wagtailbay.gateway.models import CallerHead, GatewayRequest, TargetHead, Vocabulary

__all__ = ["CallerHead", "GatewayRequest", "TargetHead", "Vocabulary"]
