"""Track which entry instances are alive."""
