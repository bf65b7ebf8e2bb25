/** Current routing table of a node, its index and its traffic splits. */
import { createRoutingIndex, type RoutingIndex } from "../../routing/createRoutingIndex";
import { matchRoute } from "../../routing/matchRoute";
import { TrafficSplit } from "../../routing/trafficSplit";
import { type RequestLimits, type Route, type RoutingTable } from "../../routing/types";

/** Called when a table has been adopted; `source` is "platform" or the host of the node that sent the table. */
export type AdoptionListener = (table: RoutingTable, source: string) => void;

/** Holds the current routing table and replaces it only by one of a higher version. */
export class ActiveRouting {
    private currentTable: RoutingTable | undefined;
    private routeIndex: RoutingIndex = new Map();
    private trafficSplits = new Map<string, TrafficSplit>();

    constructor(private readonly sampleRandom: () => number, private readonly onAdopted: AdoptionListener) {}

    /** Current table; undefined before the first one is adopted. */
    get table(): RoutingTable | undefined {
        return this.currentTable;
    }

    /** Version of the current table; 0 before the first one is adopted. */
    get version(): number {
        return this.currentTable?.version ?? 0;
    }

    get limits(): RequestLimits | undefined {
        return this.currentTable?.limits;
    }

    /** Adopts a table if its version is higher than the current version; returns whether it was adopted. */
    adopt(table: RoutingTable, source: string): boolean {
        if (table.version <= this.version) {
            return false;
        }
        // A table that can't be indexed leaves the former one in force.
        const routeIndex = createRoutingIndex(table);
        this.currentTable = table;
        this.routeIndex = routeIndex;
        this.trafficSplits = new Map();
        this.onAdopted(table, source);
        return true;
    }

    /** Finds the route for the Host header and the target of a request. */
    findRoute(host: string, target: string): Route | undefined {
        return matchRoute(this.routeIndex, host, target);
    }

    /** Chooses the service of a route's next request in proportion to the weights of the route's targets. */
    chooseService(route: Route): string {
        if (route.targets.length === 1) {
            return route.targets[0]!.service;
        }
        const split = this.trafficSplits.get(route.name) ?? new TrafficSplit(route.targets, this.sampleRandom());
        this.trafficSplits.set(route.name, split);
        return split.takeNext();
    }
}
