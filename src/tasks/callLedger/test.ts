import fc from "fast-check";
import { type Call } from "../types";
import { CallLedger } from "./index";

const retryLimit = 3;

const createCall = (id: string, retries: number): Call => ({
    id,
    action: "action",
    caller: "caller",
    importance: "normal",
    deadlineAtMs: 1_000,
    depth: 0,
    retryAllowance: retries,
});

/** Simulated call: its nested calls, its retries, and whether its answer is lost or its node restarts. */
interface CallScript {
    readonly attemptedRetries: number;
    readonly nestedCalls: readonly CallScript[];
    readonly isAnswerLost: boolean;
    readonly isNodeRestarted: boolean;
}

const arbitraryScript: fc.Memo<CallScript> = fc.memo(depth =>
    fc.record({
        attemptedRetries: fc.integer({ min: 0, max: 4 }),
        nestedCalls: depth <= 1 ? fc.constant([]) : fc.array(arbitraryScript(depth - 1), { maxLength: 3 }),
        isAnswerLost: fc.boolean(),
        isNodeRestarted: fc.boolean(),
    })
);

/** Runs a call through a tree of nodes, each with its own ledger; counts its retries and returns those left unused. */
const runScript = (script: CallScript, granted: number, countRetries: (retries: number) => void): number => {
    let ledger = new CallLedger();
    ledger.open(createCall("call", granted));
    script.nestedCalls.forEach(nested => {
        const nestedAllowance = ledger.splitRetries("call");
        const unused = runScript(nested, nestedAllowance, countRetries);
        if (script.isNodeRestarted) {
            ledger = new CallLedger();
        }
        if (!nested.isAnswerLost) {
            ledger.releaseRetries("call", nestedAllowance, unused);
        }
    });
    Array.from({ length: script.attemptedRetries }, () => ledger.takeRetry("call")).filter(Boolean).forEach(() =>
        countRetries(1)
    );
    const unused = ledger.takeAllRetries("call");
    ledger.close("call");
    return unused;
};

describe("CallLedger", () => {
    it("keeps the retries of an entire call tree within the limit despite lost answers and node restarts", () => {
        fc.assert(
            fc.property(arbitraryScript(9), script => {
                let retries = 0;
                const unused = runScript(script, retryLimit, count => {
                    retries += count;
                });
                expect(retries + unused).toBeLessThanOrEqual(retryLimit);
            }),
            { seed: 8, numRuns: 2_000 },
        );
    });

    it("takes back no more retries than were granted to a nested call", () => {
        fc.assert(
            fc.property(fc.integer({ min: 0, max: 20 }), fc.integer({ min: -5, max: 99 }), (granted, claimedUnused) => {
                const ledger = new CallLedger();
                ledger.open(createCall("call", granted));
                const nestedAllowance = ledger.splitRetries("call");
                ledger.releaseRetries("call", nestedAllowance, claimedUnused);
                expect(ledger.countRetriesLeft("call")).toBeLessThanOrEqual(granted);
            }),
            { seed: 9, numRuns: 500 },
        );
    });

    it("grants no retries to an unknown call", () => {
        const ledger = new CallLedger();
        expect([ledger.splitRetries("unknown"), ledger.takeRetry("unknown"), ledger.countRetriesLeft("unknown")])
            .toEqual([
                0,
                false,
                0,
            ]);
    });
});
