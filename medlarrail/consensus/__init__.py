"""The replicated log: following, leading, elections and forming."""
