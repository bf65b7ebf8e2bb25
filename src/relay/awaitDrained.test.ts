import { awaitDrained } from "./awaitDrained";

/** Advance of the clock at each reading, in milliseconds. */
const stepMs = 5;

const runDrain = async (pendingUntilMs: number, lastEntryMs: number): Promise<number> => {
    let nowMs = 0;
    const readNowMs = (): number => {
        nowMs += stepMs;
        return nowMs;
    };
    await awaitDrained({
        readPending: () => nowMs < pendingUntilMs ? 1 : 0,
        readLastEntryMs: () => Math.min(nowMs, lastEntryMs),
        readNowMs,
        leaveAfterMs: 100,
        graceMs: 1_500,
    });
    return nowMs;
};

describe("awaitDrained", () => {
    it("waits until callers have observed that the node is leaving", async () => {
        expect(await runDrain(0, -1_000)).toBeGreaterThanOrEqual(100);
    });

    it("waits for pending requests", async () => {
        expect(await runDrain(300, -1_000)).toBeGreaterThanOrEqual(300);
    });

    it("waits while requests arrive at the entry, but ends early enough to close before the kill", async () => {
        const endMs = await runDrain(10_000, 10_000);
        expect(endMs).toBeGreaterThanOrEqual(600);
        expect(endMs).toBeLessThan(1_500);
    });
});
