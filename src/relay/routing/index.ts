/** The routing table in force at a node. */
import { createRoutingIndex, type RoutingIndex } from "../../routing/createRoutingIndex";
import { matchRoute } from "../../routing/matchRoute";
import { TrafficSplit } from "../../routing/trafficSplit";
import { type RequestLimits, type Route, type RoutingTable } from "../../routing/types";

/** Told when a table comes into force. */
export type AdoptionListener = (table: RoutingTable, source: string) => void;

/** Owns the table in force; only a higher version replaces it. */
export class ActiveRouting {
    private current: RoutingTable | undefined;
    private index: RoutingIndex = new Map();
    private splits = new Map<string, TrafficSplit>();

    constructor(private readonly sampleRandom: () => number, private readonly onAdopted: AdoptionListener) {}

    /** The table in force, or undefined before the first one. */
    get table(): RoutingTable | undefined {
        return this.current;
    }

    /** Version in force, 0 for none. */
    get version(): number {
        return this.current?.version ?? 0;
    }

    get limits(): RequestLimits | undefined {
        return this.current?.limits;
    }

    /** Puts a table into force, unless one of the same or a higher version is. */
    adopt(table: RoutingTable, source: string): boolean {
        if (table.version <= this.version) {
            return false;
        }
        this.current = table;
        this.index = createRoutingIndex(table);
        this.splits = new Map();
        this.onAdopted(table, source);
        return true;
    }

    /** Finds the route of a request. */
    findRoute(host: string, target: string): Route | undefined {
        return matchRoute(this.index, host, target);
    }

    /** Takes the service that the next request of a route goes to. */
    chooseService(route: Route): string {
        if (route.targets.length === 1) {
            return route.targets[0]!.service;
        }
        const split = this.splits.get(route.name) ?? new TrafficSplit(route.targets, this.sampleRandom());
        this.splits.set(route.name, split);
        return split.takeNext();
    }
}
