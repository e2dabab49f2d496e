"""Define the commands of the command line."""
