import { type UpstreamRecord } from "../routing/types";
import { type ListOrigin } from "./fleet/types";
import { type EventLog } from "./log";
import { type RelayMetrics } from "./metrics";
import { type ActiveRouting } from "./routing";
import { type SourceListener } from "./source";

/** Components that the listener updates. */
export interface SourceListenerDependencies {
    readonly routing: ActiveRouting;
    readonly log: EventLog;
    readonly onUpstreams: (records: readonly UpstreamRecord[], origin: ListOrigin) => void;
    readonly metrics: Pick<RelayMetrics, "countLearningFailure">;
}

/** Creates the listener that applies what a node's source reads, and logs its errors. */
export const createSourceListener = (
    { routing, log, onUpstreams, metrics }: SourceListenerDependencies,
): SourceListener => ({
    onRouting: (table, from) => void routing.adopt(table, from),
    onUpstreams,
    onReachability: (isReachable, detail) =>
        log.writeAlways(isReachable ? "platform-reached" : "platform-lost", { detail }),
    onUnreadable: (key, detail) => log.writeState("entry-unreadable", { key, detail }),
    onReadingFrom: (place, reason) => log.writeState("fleet-read-from", { place, reason }),
    onEra: (era, revision) => log.writeAlways("platform-restored", { era, revision }),
    onLearningFailed: (task, error) => {
        metrics.countLearningFailure(task);
        log.writeFailure("learning-failed", error, { task });
    },
    readTable: () => routing.table,
});
