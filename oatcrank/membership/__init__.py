"""Know which instances live."""
