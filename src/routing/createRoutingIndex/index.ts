import { type Route, type RoutingTable } from "../types";

/** Routes by lower-case host, then by path prefix. */
export type RoutingIndex = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/** Creates the index of a table's routes that `matchRoute` searches. */
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
