"""The leader's scheduler and the process that ties the actors together."""
