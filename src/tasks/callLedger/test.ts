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

/** What happens to one call: child calls with their own fates, retries, and whether its answer gets through. */
interface CallScript {
    readonly retriesWanted: number;
    readonly children: readonly CallScript[];
    readonly answerLost: boolean;
    readonly restarted: boolean;
}

const callScript: fc.Memo<CallScript> = fc.memo(depth =>
    fc.record({
        retriesWanted: fc.integer({ min: 0, max: 4 }),
        children: depth <= 1 ? fc.constant([]) : fc.array(callScript(depth - 1), { maxLength: 3 }),
        answerLost: fc.boolean(),
        restarted: fc.boolean(),
    })
);

/** Runs a script over a tree of nodes, each with its own ledger; returns the retries made and those returned. */
const runScript = (script: CallScript, granted: number, count: (retries: number) => void): number => {
    let ledger = new CallLedger();
    ledger.open(createCall("call", granted));
    script.children.forEach(child => {
        const grant = ledger.splitRetries("call");
        const unused = runScript(child, grant, count);
        if (script.restarted) {
            ledger = new CallLedger();
        }
        if (!child.answerLost) {
            ledger.releaseRetries("call", grant, unused);
        }
    });
    Array.from({ length: script.retriesWanted }, () => ledger.takeRetry("call")).filter(Boolean).forEach(() =>
        count(1)
    );
    const unused = ledger.takeAllRetries("call");
    ledger.close("call");
    return unused;
};

describe("Ledger", () => {
    it("keeps the retries of a whole call tree within the limit, under lost answers and restarts", () => {
        fc.assert(
            fc.property(callScript(9), script => {
                let made = 0;
                const unused = runScript(script, retryLimit, retries => {
                    made += retries;
                });
                expect(made + unused).toBeLessThanOrEqual(retryLimit);
            }),
            { seed: 8, numRuns: 2_000 },
        );
    });

    it("takes back no more from a child than it was granted, whatever the child claims", () => {
        fc.assert(
            fc.property(fc.integer({ min: 0, max: 20 }), fc.integer({ min: -5, max: 99 }), (granted, claimed) => {
                const ledger = new CallLedger();
                ledger.open(createCall("call", granted));
                const grant = ledger.splitRetries("call");
                ledger.releaseRetries("call", grant, claimed);
                expect(ledger.countRetriesLeft("call")).toBeLessThanOrEqual(granted);
            }),
            { seed: 9, numRuns: 500 },
        );
    });

    it("gives none to a call that it does not know", () => {
        const ledger = new CallLedger();
        expect([ledger.splitRetries("unknown"), ledger.takeRetry("unknown"), ledger.countRetriesLeft("unknown")])
            .toEqual([
                0,
                false,
                0,
            ]);
    });
});
