"""The state service: a client that keeps within the rate limits, and watches."""
