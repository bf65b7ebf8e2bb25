import { type Route, type RoutingTable } from "../types";

/** Routes by host and prefix. */
export type RoutingIndex = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/** Creates the index by which requests are matched with the routes of a table. */
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
