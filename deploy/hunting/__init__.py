"""A generator of days for the users' bench, and a runner that plays them."""
