"""Client of the state service: a strongly consistent key-value store shared by all controllers.

``service`` holds the client, ``errors`` its exceptions and ``limits`` the service's rate and size
limits.  ``rate_limiter`` and ``budget`` keep requests below the rate limits.  ``read_coalescing``
checks the versions of many keys with one request.
"""
