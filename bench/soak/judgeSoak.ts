/** Judges from what callers, upstreams and the store have seen whether nodes kept their promises. */
import { type Disruption, type SoakCall, type SoakRecord, type SoakRun } from "./types";

/** Bounds of the promises that depend on time. */
export interface SoakBounds {
    /** Time within which a configuration has to be in force, in milliseconds. */
    readonly adoptionMs: number;
    /** Time after which an upstream that leaves gets no new requests, in milliseconds. */
    readonly drainMs: number;
}

/** Bounds of the deployment cai-simgrid. */
export const deploymentBounds: SoakBounds = { adoptionMs: 2_000, drainMs: 2_000 };
/** Time after an effect of a version was seen at a node in which the node may still apply an older one, in ms. */
const rollbackSlackMs = 250;
/** Time without a disruption after which bounds hold again, in milliseconds. */
const stableWindowMs = 3_000;
/** Time for which an undisturbed node may be not ready, in milliseconds. */
const maxUnreadyMs = 8_000;
const storePlace = "store";
const notFoundStatus = 404;
const okStatus = 200;
const refusalStatuses: readonly number[] = [408, 421, 429, 503];

/** What must not happen, with the moment, the node and a description. */
export interface SoakFault {
    readonly rule: "CONFIG" | "DRAIN" | "TWICE" | "REFUSED" | "MIXED" | "READY" | "EXIT";
    readonly atMs: number;
    readonly node: string;
    readonly text: string;
}

/** Finds whether a node was undisturbed at a time, so that time bounds hold for it. */
export class CalmTimes {
    private readonly byPlace = new Map<string, Disruption[]>();

    constructor(disruptions: readonly Disruption[]) {
        disruptions.forEach(disruption => {
            const { place } = disruption;
            this.byPlace.set(place, [...this.byPlace.get(place) ?? [], disruption]);
        });
    }

    /** Whether neither the node nor the store was disturbed between two times or shortly before them. */
    isCalm(node: string, fromMs: number, toMs = fromMs): boolean {
        return [node, storePlace].every(place =>
            (this.byPlace.get(place) ?? []).every(disruption =>
                disruption.toMs < fromMs - stableWindowMs || disruption.fromMs > toMs
            )
        );
    }
}

const judgeRoutes = (
    { calls, routes }: SoakRecord,
    calm: CalmTimes,
    { adoptionMs }: SoakBounds,
): readonly SoakFault[] => {
    const lives = new Map(routes.map(life => [life.name, life]));
    const servedSince = new Map<string, number>();
    return [...calls].sort((first, second) => first.sentAtMs - second.sentAtMs).flatMap(
        (call): readonly SoakFault[] => {
            const { node, route, sentAtMs, endedAtMs, status, requestId } = call;
            const { addedAtMs, removedAtMs } = lives.get(route)!;
            const key = `${node} ${route}`;
            const servedAtMs = servedSince.get(key);
            if (status === okStatus) {
                servedSince.set(key, Math.min(servedAtMs ?? Infinity, endedAtMs));
            }
            if (!calm.isCalm(node, sentAtMs, endedAtMs)) {
                return [];
            }
            const createFault = (text: string): readonly SoakFault[] => [
                { rule: "CONFIG", atMs: sentAtMs, node, text: `${requestId} on ${route}: ${text}` },
            ];
            const isPresent = removedAtMs > endedAtMs;
            if (status === notFoundStatus && isPresent && sentAtMs > addedAtMs + adoptionMs) {
                return createFault(`404, ${sentAtMs - addedAtMs} ms after the route was added`);
            }
            if (status === notFoundStatus && isPresent && sentAtMs > (servedAtMs ?? Infinity) + rollbackSlackMs) {
                return createFault(`404, though the node had served it ${sentAtMs - servedAtMs!} ms before`);
            }
            return status === okStatus && sentAtMs > removedAtMs + adoptionMs
                ? createFault(`200, ${sentAtMs - removedAtMs} ms after the route was removed`)
                : [];
        },
    );
};

const judgeLeavings = (
    { calls, runs, leavings }: SoakRecord,
    calm: CalmTimes,
    { drainMs }: SoakBounds,
): readonly SoakFault[] => {
    const ackTimes = new Map(leavings.map(({ upstreamId, ackAtMs }) => [upstreamId, ackAtMs]));
    const callsById = new Map(calls.map(call => [call.requestId, call]));
    return runs.flatMap((run): readonly SoakFault[] => {
        const { requestId, upstreamId, atMs, node } = run;
        const ackAtMs = ackTimes.get(upstreamId);
        const call = callsById.get(requestId);
        if (ackAtMs === undefined || !call || atMs <= ackAtMs + drainMs) {
            return [];
        }
        const isCalm = calm.isCalm(call.node, atMs) && calm.isCalm(node, atMs) && calm.isCalm(storePlace, ackAtMs);
        const text = `${requestId} reached ${upstreamId} ${atMs - ackAtMs} ms after it said that it leaves`;
        return isCalm ? [{ rule: "DRAIN", atMs, node: call.node, text }] : [];
    });
};

const judgeCall = (call: SoakCall, runs: readonly SoakRun[]): readonly SoakFault[] => {
    const { requestId, idempotent, status, isWhole, node, sentAtMs: atMs } = call;
    if (!idempotent && runs.length > 1) {
        return [{ rule: "TWICE", atMs, node, text: `${requestId} has run ${runs.length} times` }];
    }
    if (!idempotent && refusalStatuses.includes(status) && runs.length > 0) {
        return [{ rule: "REFUSED", atMs, node, text: `${requestId} was answered ${status} and has run` }];
    }
    return status === okStatus && !isWhole
        ? [{ rule: "MIXED", atMs, node, text: `${requestId} got a body that isn't its own or isn't whole` }]
        : [];
};

const judgeReadiness = ({ probes }: SoakRecord, calm: CalmTimes): readonly SoakFault[] => {
    const unreadySince = new Map<string, number>();
    const reported = new Set<string>();
    return [...probes].sort((first, second) => first.atMs - second.atMs).flatMap(
        ({ node, atMs, isReady }): readonly SoakFault[] => {
            if (isReady || !calm.isCalm(node, atMs)) {
                unreadySince.delete(node);
                reported.delete(node);
                return [];
            }
            const sinceMs = unreadySince.get(node) ?? atMs;
            unreadySince.set(node, sinceMs);
            if (atMs - sinceMs <= maxUnreadyMs || reported.has(node)) {
                return [];
            }
            reported.add(node);
            return [{ rule: "READY", atMs, node, text: `not ready for ${atMs - sinceMs} ms without a disruption` }];
        },
    );
};

/** Judges all that a soak has recorded; the faults are in the order of their times. */
export const judgeSoak = (record: SoakRecord, bounds = deploymentBounds): readonly SoakFault[] => {
    const calm = new CalmTimes(record.disruptions);
    const runsById = new Map<string, SoakRun[]>();
    record.runs.forEach(run => runsById.set(run.requestId, [...runsById.get(run.requestId) ?? [], run]));
    const faults: readonly SoakFault[] = [
        ...judgeRoutes(record, calm, bounds),
        ...judgeLeavings(record, calm, bounds),
        ...record.calls.flatMap(call => judgeCall(call, runsById.get(call.requestId) ?? [])),
        ...judgeReadiness(record, calm),
        ...record.exits.map((text): SoakFault => ({ rule: "EXIT", atMs: 0, node: text.split(" ")[0]!, text })),
    ];
    return [...faults].sort((first, second) => first.atMs - second.atMs);
};
