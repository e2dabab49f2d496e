"""Take callers' requests and dispatch them."""
