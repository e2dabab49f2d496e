"""Translate between oatcrank and the users' platform; nothing else knows its names."""
