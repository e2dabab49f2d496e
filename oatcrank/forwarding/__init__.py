"""Forward requests from callers to backend servers and answers back."""
