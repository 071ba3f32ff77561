"""The controller process: the leader's actor and the components around it."""
