"""Client of the state service: a strongly consistent key-value store shared by all controllers.

``service`` holds the client, ``errors`` its exceptions, ``rate_limiter`` and ``budget`` keep our
requests below the service's rate limits, ``limits`` its size limits, and ``read_coalescing`` checks
the versions of many keys with one request.
"""
