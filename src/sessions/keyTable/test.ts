import { keyRetentionMs, maxKeyRecordBytes, maxKeyRecords } from "../../constants";
import { KeyRecords } from "../../tasks/keyRecords";
import { createIdSource } from "../../testing/createIdSource";
import { VirtualClock } from "../../testing/virtualClock";

const targetCallsPerSecond = 156;

/** A table that has been up for a while, and the means to run requests with new keys. */
const createTable = () => {
    const clock = new VirtualClock();
    const records = new KeyRecords(clock);
    const createId = createIdSource(clock, 1);
    clock.runUntil(10_000);
    const runNew = (body: Buffer): string => {
        const request = { caller: "caller", key: createId(), fingerprint: "same" };
        const decision = records.begin(request, () => undefined);
        if (decision.kind === "run") {
            const answer = { head: { status: 200, rawHeaders: [] }, body };
            records.finish(request, { outcome: "completed", answer });
        }
        return decision.kind;
    };
    return { clock, records, createId, runNew };
};

describe("the table of idempotency keys", () => {
    it("takes every call of the target rate with a key, however long that lasts", () => {
        const { clock, runNew } = createTable();
        const answer = Buffer.alloc(300);
        Array.from({ length: 4 * keyRetentionMs / 1_000 }, () => {
            const kinds = Array.from({ length: targetCallsPerSecond }, () => runNew(answer));
            expect(new Set(kinds)).toEqual(new Set(["run"]));
            clock.runUntil(clock.readMonotonicMs() + 1_000);
        });
    });

    it("refuses new keys when it is full by size, and forgets none early", () => {
        const { clock, records, createId, runNew } = createTable();
        const first = { caller: "caller", key: createId(), fingerprint: "same" };
        records.begin(first, () => undefined);
        records.finish(first, { outcome: "completed", answer: undefined });
        const large = Buffer.alloc(64 * 1024);
        const runs = Math.ceil(maxKeyRecordBytes / large.length);
        Array.from({ length: runs }, () => runNew(large));
        expect(runNew(large)).toBe("full");
        expect(records.begin(first, () => undefined).kind).toBe("replay");
        clock.runUntil(clock.readMonotonicMs() + keyRetentionMs + 1_000);
        expect(runNew(large)).toBe("run");
    });

    it("refuses new keys when it is full by number", () => {
        const { runNew } = createTable();
        Array.from({ length: maxKeyRecords }, () => runNew(Buffer.alloc(0)));
        expect(runNew(Buffer.alloc(0))).toBe("full");
    });

    it("does not run a key again whose record has gone", () => {
        const { clock, records, createId } = createTable();
        const request = { caller: "caller", key: createId(), fingerprint: "same" };
        records.begin(request, () => undefined);
        records.finish(request, { outcome: "completed", answer: undefined });
        clock.runUntil(clock.readMonotonicMs() + keyRetentionMs + 1_000);
        expect(records.begin(request, () => undefined)).toEqual({ kind: "unacceptable", age: "expired" });
    });
});
