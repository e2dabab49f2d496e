"""Run at-most-once requests under durable claims."""
