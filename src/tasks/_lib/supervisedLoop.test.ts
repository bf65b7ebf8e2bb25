import { VirtualClock } from "../../testing/virtualClock";
import { SupervisedLoop } from "./supervisedLoop";

let clock: VirtualClock;
let failures: string[];
let turns: number;

const createLoop = (runTurn: () => Promise<void>): SupervisedLoop =>
    new SupervisedLoop(
        () => {
            turns += 1;
            return runTurn();
        },
        { clock, maxTurnMs: 6_000, onFailed: ({ message }) => failures.push(message) },
    );

const awaitTurnEnd = (): Promise<void> =>
    new Promise(resolve => {
        clock.startTimeout(100, resolve);
    });

const runFor = async (durationMs: number): Promise<void> => {
    const untilMs = clock.readMonotonicMs() + durationMs;
    while (clock.readMonotonicMs() < untilMs) {
        clock.runUntil(clock.readMonotonicMs() + 10);
        await new Promise(resolve => setImmediate(resolve));
    }
};

beforeEach(() => {
    [clock, failures, turns] = [new VirtualClock(), [], 0];
});

describe("SupervisedLoop", () => {
    it("begins each turn when the one before has ended, until it is stopped", async () => {
        const loop = createLoop(awaitTurnEnd);
        loop.start();
        await runFor(1_000);
        expect(turns).toBeGreaterThanOrEqual(9);
        loop.stop();
        const { length } = failures;
        const stoppedTurns = turns;
        await runFor(1_000);
        expect([turns, length]).toEqual([stoppedTurns, 0]);
    });

    // Guards against a loop that ends by an exception which nobody awaits.
    it.each([
        ["throws", (): Promise<void> => {
            throw new Error("failed");
        }],
        ["rejects", () => Promise.reject(new Error("failed"))],
        ["rejects without an error", () => Promise.reject("failed")],
    ])("reports a turn that %s, and begins the next one after a growing delay", async (unused, fail) => {
        let isFailing = true;
        const loop = createLoop(() => isFailing ? fail() : awaitTurnEnd());
        loop.start();
        await runFor(5_000);
        expect(failures[0]).toContain("failed");
        expect(failures.length).toBeGreaterThan(4);
        expect(failures.length).toBeLessThan(10);
        expect(loop.isFailing).toBe(true);
        isFailing = false;
        await runFor(2_000);
        expect(loop.isFailing).toBe(false);
        expect(turns).toBeGreaterThan(failures.length + 5);
        loop.stop();
    });

    // Guards against a loop that waits for good for a call that never ends.
    it("gives up a turn that doesn't end", async () => {
        let isHanging = true;
        const loop = createLoop(() => isHanging ? new Promise(() => undefined) : awaitTurnEnd());
        loop.start();
        await runFor(5_900);
        expect([turns, failures.length]).toEqual([1, 0]);
        isHanging = false;
        await runFor(1_000);
        expect(failures).toEqual(["a turn has not ended within 6000 ms"]);
        expect(turns).toBeGreaterThan(2);
        loop.stop();
    });

    // Guards against a process that takes its own pause for a call that doesn't end: all its timers are due at once then.
    it("counts a pause of the process as one check", () => {
        let nowMs = 0;
        const timers: (() => void)[] = [];
        const pausingClock = {
            readMonotonicMs: () => nowMs,
            readWallMs: () => nowMs,
            startInterval: () => () => undefined,
            startTimeout: (unused: number, handle: () => void) => {
                timers.push(handle);
                return () => undefined;
            },
        };
        const onFailed = jest.fn();
        new SupervisedLoop(() => new Promise(() => undefined), { clock: pausingClock, maxTurnMs: 6_000, onFailed })
            .start();
        for (let pause = 0; pause < 11; pause += 1) {
            nowMs += 60_000;
            timers.splice(0).forEach(expire => expire());
        }
        expect(onFailed).not.toHaveBeenCalled();
    });
});
