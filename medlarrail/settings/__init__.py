"""Settings of the programs, as their JSON files hold them."""
