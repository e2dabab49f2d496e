"""Call the key-value service, the weight store and the instance list."""
