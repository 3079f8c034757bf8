"""Finds the route of a request."""

from __future__ import annotations

import xxhash

from coriandershelf_core.internal.gateway.deployment import Route


class RouteTable:
    """The routes of one configuration, by host and path prefix.

    Prefixes end with a slash, so a path is cut at its slashes from the right; the cost grows with
    the path's depth and not with the number of routes.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = {(route.host, route.path_prefix): route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, or ``None``."""
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Return one of the route's services in proportion to their weights.

    The same request id always gives the same service.
    """
    if len(route.backends) == 1:
        return route.backends[0].service
    total = sum(backend.weight for backend in route.backends)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2.0**64 * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0.0:
            return backend.service
    return route.backends[-1].service
