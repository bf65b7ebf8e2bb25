import { judgeUpgrade } from "./judgeUpgrade";
import { type CallRecord } from "./upgradeCallers";
import { type Build, type Run } from "./upgradeFleet";

const createRecord = (requestId: string, overrides: Partial<CallRecord> = {}): CallRecord => ({
    requestId,
    idempotent: false,
    build: "from",
    status: 200,
    isWhole: true,
    ...overrides,
});

const createRun = (requestId: string, build: Build["name"] = "from"): Run => ({ requestId, build });

/** One call in each direction. */
const directions = (["from", "to"] as const).flatMap(entry =>
    (["from", "to"] as const).map(upstream => ({
        record: createRecord(`${entry}-${upstream}`, { build: entry }),
        run: createRun(`${entry}-${upstream}`, upstream),
    }))
);

const listFaults = (record: CallRecord, runCount: number): readonly string[] =>
    judgeUpgrade(
        [...directions.map(direction => direction.record), record],
        [...directions.map(({ run }) => run), ...Array.from({ length: runCount }, () => createRun(record.requestId))],
    ).faults;

describe("judgeUpgrade", () => {
    it.each([
        ["an answer", createRecord("r"), 1],
        ["a refusal of a request that has not run", createRecord("r", { status: 503 }), 0],
        ["a closed connection before the request has run", createRecord("r", { status: 0 }), 0],
        ["an idempotent request that has run twice", createRecord("r", { idempotent: true }), 2],
    ])("accepts %s", (unused, record, runCount) => {
        expect(listFaults(record, runCount)).toEqual([]);
    });

    it.each([
        ["a booking that has run twice", createRecord("r"), 2],
        ["a refused booking that has run", createRecord("r", { status: 503 }), 1],
        ["a request that has run without an answer", createRecord("r", { status: 0 }), 1],
        ["a body of another request", createRecord("r", { isWhole: false }), 1],
        ["a failure", createRecord("r", { status: 502 }), 0],
    ])("reports %s", (unused, record, runCount) => {
        expect(listFaults(record, runCount)).toHaveLength(1);
    });

    it("reports directions in which no call went", () => {
        expect(judgeUpgrade([], []).faults).toHaveLength(4);
    });
});
