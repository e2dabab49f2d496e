"""Store the profiles that operators create, change and retire."""
