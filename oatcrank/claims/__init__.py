"""Let unrepeatable requests run at most once."""
