"""Know the instances of the system and let them talk to each other."""
