"""Matches requests to routes."""

from __future__ import annotations

import xxhash

from coriandershelf_core.internal.gateway.deployment import Route


class RouteTable:
    """Longest-prefix lookup of routes by host and path.

    Prefixes end with a slash, so the path is truncated at its slashes from the right; the cost
    grows with the path's depth, not with the number of routes.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = {(route.host, route.path_prefix): route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None``."""
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Pick one of the route's services by weight; the same request id gives the same service."""
    if len(route.backends) == 1:
        return route.backends[0].service
    total = sum(backend.weight for backend in route.backends)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2.0**64 * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0.0:
            return backend.service
    return route.backends[-1].service
