"""Orders to backend servers and the state known of them."""
