import { type RoutingIndex } from "../createRoutingIndex";
import { type Route } from "../types";

const stripPort = (host: string): string => host.replace(/:\d+$/u, "");

/**
 * Returns the route of a host whose prefix is the longest that matches the path of a request target, or undefined if no
 * prefix matches. Prefixes match whole path segments only. If no route names the host with its port, the port is
 * ignored.
 */
export const matchRoute = (index: RoutingIndex, host: string, target: string): Route | undefined => {
    const normalizedHost = host.toLowerCase();
    const byPrefix = index.get(normalizedHost) ?? index.get(stripPort(normalizedHost));
    if (!byPrefix) {
        return undefined;
    }
    const queryStart = target.indexOf("?");
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    for (let slash = path.lastIndexOf("/"); slash >= 0; slash = slash > 0 ? path.lastIndexOf("/", slash - 1) : -1) {
        const route = byPrefix.get(path.slice(0, slash + 1));
        if (route) {
            return route;
        }
    }
    return undefined;
};
