"""Placement of models and adapters by the instance with the order lease."""
