"""HTTP servers and clients over trio."""
