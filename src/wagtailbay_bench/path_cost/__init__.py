"""Measure what the request path costs beside a direct connection and a bare forwarder."""
