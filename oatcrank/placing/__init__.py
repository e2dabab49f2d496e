"""Placement policies: which servers hold which models."""
