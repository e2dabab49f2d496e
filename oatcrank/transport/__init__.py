"""HTTP connections to callers and backend servers."""
