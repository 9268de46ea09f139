"""Stand in for the platform, the targets and the network in tests and demonstrations."""
