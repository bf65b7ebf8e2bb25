/** Writes what changes in a node's list of upstreams. */
import { type UpstreamRecord, type UpstreamState } from "../routing/types";
import { type ListOrigin } from "./fleet/types";
import { type EventLog } from "./log";

/** Maximum number of ids in a log line. */
const maxLoggedIds = 8;

/** Writes a log line for each list of upstreams, with those that no longer take requests. */
export class UpstreamListLog {
    private readyIds: ReadonlySet<string> = new Set();

    constructor(private readonly log: EventLog) {}

    /** Writes the line for a list; `ownId` is the id of the local upstream in it. */
    write(
        records: readonly UpstreamRecord[],
        { place, position }: ListOrigin,
        ownId: string | undefined,
    ): void {
        const listIds = (wanted: UpstreamState): readonly string[] =>
            records.filter(({ state }) => state === wanted).map(({ id }) => id);
        const readyIds = new Set(listIds("ready"));
        const left = [...this.readyIds].filter(id => !readyIds.has(id));
        this.readyIds = readyIds;
        this.log.writeState("upstreams-read", {
            total: records.length,
            ready: readyIds.size,
            ownId,
            place,
            era: position?.era,
            revision: position?.revision,
            left: formatIds(left),
            kept: formatIds(listIds("missing")),
        });
    }
}

/** Creates the origin of a list that wasn't read from the store. */
export const createListOrigin = (place: string): ListOrigin => ({ place, position: undefined });

const formatIds = (ids: readonly string[]): string | undefined =>
    ids.length === 0 ? undefined : ids.slice(0, maxLoggedIds).join(",") + (ids.length > maxLoggedIds ? ",..." : "");
