/** Judges from what callers and upstreams have seen whether an upgrade was correct. */
import { type CallRecord } from "./upgradeCallers";
import { type Run } from "./upgradeFleet";

/** Number of calls by the build of the node that they entered and of the one beside the upstream, such as `from-to`. */
export type DirectionCounts = Readonly<Record<string, number>>;

/** Result of an upgrade. */
export interface UpgradeVerdict {
    readonly directions: DirectionCounts;
    readonly statuses: Readonly<Record<string, number>>;
    /** What must not happen, one line each. */
    readonly faults: readonly string[];
}

const refusalStatuses: readonly number[] = [408, 421, 429, 503];
const okStatus = 200;
const allDirections: readonly string[] = ["from-from", "from-to", "to-from", "to-to"];

const countBy = <Item>(items: readonly Item[], readKey: (item: Item) => string): Record<string, number> => {
    const counts: Record<string, number> = {};
    items.forEach(item => counts[readKey(item)] = (counts[readKey(item)] ?? 0) + 1);
    return counts;
};

const describeFault = (record: CallRecord, runs: readonly Run[]): string | undefined => {
    const { requestId, idempotent, status, isWhole } = record;
    if (!idempotent && runs.length > 1) {
        return `${requestId} isn't idempotent and has run ${runs.length} times`;
    }
    if (!idempotent && refusalStatuses.includes(status) && runs.length > 0) {
        return `${requestId} was answered ${status} and has run`;
    }
    if (status === okStatus && !isWhole) {
        return `${requestId} got a body that isn't its own or isn't whole`;
    }
    if (status === 0 && runs.length > 0) {
        return `${requestId} has run and got no answer`;
    }
    return status !== 0 && status !== okStatus && !refusalStatuses.includes(status)
        ? `${requestId} was answered ${status}`
        : undefined;
};

/** Judges all requests of an upgrade. */
export const judgeUpgrade = (records: readonly CallRecord[], runs: readonly Run[]): UpgradeVerdict => {
    const runsById = new Map<string, Run[]>();
    runs.forEach(run => runsById.set(run.requestId, [...runsById.get(run.requestId) ?? [], run]));
    const listRuns = ({ requestId }: CallRecord): readonly Run[] => runsById.get(requestId) ?? [];
    const answered = records.filter(record => record.status === okStatus && listRuns(record).length > 0);
    const directions = countBy(answered, record => `${record.build}-${listRuns(record)[0]!.build}`);
    const faults = records.flatMap(record => describeFault(record, listRuns(record)) ?? []);
    const missing = allDirections.filter(direction => !directions[direction]).map(direction =>
        `no call went ${direction}`
    );
    return { directions, statuses: countBy(records, ({ status }) => String(status)), faults: [...faults, ...missing] };
};
