"""Define and validate the settings of an entry instance."""
