"""Take a request from its caller to a backend server and the answer back."""
