import { type Route, type RoutingTable } from "../types";

/** Routes by host in lower case, then by prefix. */
export type RoutingIndex = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/** Creates the index with which `matchRoute` looks up the routes of a table. */
export const createRoutingIndex = (table: RoutingTable): RoutingIndex => {
    const index = new Map<string, Map<string, Route>>();
    table.routes.forEach(route => {
        const host = route.host.toLowerCase();
        const byPrefix = index.get(host) ?? new Map<string, Route>();
        byPrefix.set(route.prefix, route);
        index.set(host, byPrefix);
    });
    return index;
};
