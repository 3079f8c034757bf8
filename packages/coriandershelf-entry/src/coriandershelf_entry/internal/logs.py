"""Structured logs: one JSON object per line on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str, **context: str) -> Any:
    """Set up JSON logs at a level and return a logger bound to ``context``."""
    level_number = getattr(logging, level.upper())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(**context)
