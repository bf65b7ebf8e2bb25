import { keyRetentionMs, maxKeyRecordBytes, maxKeyRecords } from "../../constants";
import { KeyRecords } from "../../tasks/keyRecords";
import { createIdSource } from "../../testing/createIdSource";
import { VirtualClock } from "../../testing/virtualClock";

const targetRequestsPerSecond = 156;

/** Creates a table that started 10 s ago, so that it accepts new keys; `runWithNewKey` completes one request. */
const createTable = () => {
    const clock = new VirtualClock();
    const records = new KeyRecords(clock);
    const createId = createIdSource(clock, 1);
    clock.runUntil(10_000);
    const runWithNewKey = (body: Buffer): string => {
        const request = { caller: "caller", key: createId(), fingerprint: "same" };
        const decision = records.begin(request, () => undefined);
        if (decision.kind === "run") {
            const answer = { head: { status: 200, rawHeaders: [] }, body };
            records.finish(request, { outcome: "completed", answer });
        }
        return decision.kind;
    };
    return { clock, records, createId, runWithNewKey };
};

describe("KeyRecords at its limits", () => {
    it("accepts keyed requests at the target rate for several retention periods", () => {
        const { clock, runWithNewKey } = createTable();
        const answer = Buffer.alloc(300);
        Array.from({ length: 4 * keyRetentionMs / 1_000 }, () => {
            const kinds = Array.from({ length: targetRequestsPerSecond }, () => runWithNewKey(answer));
            expect(new Set(kinds)).toEqual(new Set(["run"]));
            clock.runUntil(clock.readMonotonicMs() + 1_000);
        });
    });

    it("refuses new keys at its size limit, and keeps each record for the retention period", () => {
        const { clock, records, createId, runWithNewKey } = createTable();
        const firstRequest = { caller: "caller", key: createId(), fingerprint: "same" };
        records.begin(firstRequest, () => undefined);
        records.finish(firstRequest, { outcome: "completed", answer: undefined });
        const largeBody = Buffer.alloc(64 * 1024);
        const runCount = Math.ceil(maxKeyRecordBytes / largeBody.length);
        Array.from({ length: runCount }, () => runWithNewKey(largeBody));
        expect(runWithNewKey(largeBody)).toBe("full");
        expect(records.begin(firstRequest, () => undefined).kind).toBe("replay");
        clock.runUntil(clock.readMonotonicMs() + keyRetentionMs + 1_000);
        expect(runWithNewKey(largeBody)).toBe("run");
    });

    it("refuses new keys at its record limit", () => {
        const { runWithNewKey } = createTable();
        Array.from({ length: maxKeyRecords }, () => runWithNewKey(Buffer.alloc(0)));
        expect(runWithNewKey(Buffer.alloc(0))).toBe("full");
    });

    it("does not run a request again after its record has expired", () => {
        const { clock, records, createId } = createTable();
        const request = { caller: "caller", key: createId(), fingerprint: "same" };
        records.begin(request, () => undefined);
        records.finish(request, { outcome: "completed", answer: undefined });
        clock.runUntil(clock.readMonotonicMs() + keyRetentionMs + 1_000);
        expect(records.begin(request, () => undefined)).toEqual({ kind: "unacceptable", keyAge: "expired" });
    });
});
