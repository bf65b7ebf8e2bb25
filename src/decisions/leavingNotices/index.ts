/** Incarnation of an upstream: its id, and when it started. */
export interface Incarnation {
    readonly id: string;
    readonly bornAtMs: number;
}

/** Start times of the latest incarnations that have said that they are leaving, by id; the oldest notice comes first. */
export type LeavingNotices = ReadonlyMap<string, number>;

/** Maximum number of remembered notices; an upstream that has left is gone long before so many others have. */
const maxNotices = 4_096;

/** No notices. */
export const noLeavingNotices: LeavingNotices = new Map();

/** Adds the notice of an incarnation; that of an earlier one changes nothing. */
export const addLeavingNotice = (notices: LeavingNotices, { id, bornAtMs }: Incarnation): LeavingNotices => {
    if (isNoticed(notices, { id, bornAtMs })) {
        return notices;
    }
    const added = new Map(notices);
    added.delete(id);
    added.set(id, bornAtMs);
    const [oldestId] = added.keys();
    if (added.size > maxNotices) {
        added.delete(oldestId!);
    }
    return added;
};

/** Whether an incarnation, or a later one with its id, has said that it is leaving. No list of upstreams takes it back. */
export const isNoticed = (notices: LeavingNotices, { id, bornAtMs }: Incarnation): boolean =>
    bornAtMs <= (notices.get(id) ?? -Infinity);
