"""HTTP servers and clients, and datagrams, on trio."""
