"""Jobs: the leader's model of them, dependencies among them, validation of submissions.  Pure."""
