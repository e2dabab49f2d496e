"""Organisations that share a deployment: their keys and quotas."""
