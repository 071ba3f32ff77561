"""micadeal: a fair-share cluster scheduler that runs as a small group of controllers."""

__version__ = "0.1.0"
