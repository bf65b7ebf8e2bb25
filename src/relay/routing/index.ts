/** The routing table that a node uses. */
import { createRoutingIndex, type RoutingIndex } from "../../routing/createRoutingIndex";
import { matchRoute } from "../../routing/matchRoute";
import { TrafficSplit } from "../../routing/trafficSplit";
import { type RequestLimits, type Route, type RoutingTable } from "../../routing/types";

/** Called when a table has been adopted, with the source that it came from. */
export type AdoptionListener = (table: RoutingTable, source: string) => void;

/** Holds the current routing table, which is replaced only by one of a higher version. */
export class ActiveRouting {
    private current: RoutingTable | undefined;
    private routeIndex: RoutingIndex = new Map();
    private trafficSplits = new Map<string, TrafficSplit>();

    constructor(private readonly sampleRandom: () => number, private readonly onAdopted: AdoptionListener) {}

    /** The current table, undefined before the first one is adopted. */
    get table(): RoutingTable | undefined {
        return this.current;
    }

    /** Version of the current table, 0 for none. */
    get version(): number {
        return this.current?.version ?? 0;
    }

    get limits(): RequestLimits | undefined {
        return this.current?.limits;
    }

    /** Adopts a table if its version is higher than the current one; returns whether it was adopted. */
    adopt(table: RoutingTable, source: string): boolean {
        if (table.version <= this.version) {
            return false;
        }
        this.current = table;
        this.routeIndex = createRoutingIndex(table);
        this.trafficSplits = new Map();
        this.onAdopted(table, source);
        return true;
    }

    /** Finds the route that matches a request. */
    findRoute(host: string, target: string): Route | undefined {
        return matchRoute(this.routeIndex, host, target);
    }

    /** Chooses the service for the next request of a route, by the weights of its targets. */
    chooseService(route: Route): string {
        if (route.targets.length === 1) {
            return route.targets[0]!.service;
        }
        const split = this.trafficSplits.get(route.name) ?? new TrafficSplit(route.targets, this.sampleRandom());
        this.trafficSplits.set(route.name, split);
        return split.takeNext();
    }
}
