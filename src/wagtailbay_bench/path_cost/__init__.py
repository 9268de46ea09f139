"""Cost of the request path, compared with direct connections and a minimal forwarder."""
