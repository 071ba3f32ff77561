"""The leader's actor and the process that ties the actors together."""
