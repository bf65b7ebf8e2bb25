import { type RoutingIndex } from "../createRoutingIndex";
import { type Route } from "../types";

const stripPort = (host: string): string => host.replace(/:\d+$/u, "");

/** Finds the route whose prefix is the longest one that begins the path, among the routes of a host. */
export const matchRoute = (index: RoutingIndex, host: string, target: string): Route | undefined => {
    const lowerCase = host.toLowerCase();
    const byPrefix = index.get(lowerCase) ?? index.get(stripPort(lowerCase));
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
