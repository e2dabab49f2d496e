"""Stand-ins for the platform and backend servers, and test tools."""
