"""Stand-ins and a harness for the cases of this review."""
