"""Which versions serve, at which level they do so together, and how that level moves.  Pure."""
