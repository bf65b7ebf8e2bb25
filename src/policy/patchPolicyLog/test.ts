import { createPolicy } from "../../testing/createPolicy";
import { createPolicyLog } from "../createPolicyLog";
import { deriveChain } from "../deriveChain";
import { type PolicyLog } from "../types";
import { patchPolicyLog } from "./index";

const note = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };
const shorterQueue = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 5 }];
const longerQueue = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 50 }];

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), note);
    if (!created.ok) {
        throw new Error("the fixture is not a policy");
    }
    return created.value;
};

const patchOrThrow = (log: PolicyLog, against: number, patch: unknown): PolicyLog => {
    const patched = patchPolicyLog(log, against, patch, note);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    return patched.value;
};

describe("patchPolicyLog", () => {
    it("appends a version that follows from the named one", () => {
        const { versions } = deriveChain(patchOrThrow(createLog(), 1, shorterQueue));
        expect(versions.map(version => version.version)).toEqual([1, 2]);
        expect(versions[1]!.policy.services["desk"]!.queue.maxLength).toBe(5);
    });

    it("refuses a patch against a version that is no longer the latest one", () => {
        const log = patchOrThrow(createLog(), 1, shorterQueue);
        expect(patchPolicyLog(log, 1, longerQueue, note)).toEqual({
            ok: false,
            faults: [{ path: "$", message: "the patch is against version 1, but version 2 is current" }],
        });
    });

    it("refuses a patch that changes nothing", () => {
        const patch = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 10 }];
        expect(patchPolicyLog(createLog(), 1, patch, note)).toMatchObject({ ok: false });
    });

    it("refuses a patch whose result has faults, and names them all", () => {
        const patch = [
            { op: "replace", path: "/retryLimit", value: -1 },
            { op: "add", path: "/services/desk/unknown", value: true },
        ];
        const patched = patchPolicyLog(createLog(), 1, patch, note);
        expect(patched.ok ? [] : patched.faults.map(fault => fault.path)).toEqual(["$.retryLimit", "$.services.desk"]);
    });
});

describe("deriveChain", () => {
    it("lets the first of two patches against one version win and rejects the second", () => {
        const log = createLog();
        const first = patchOrThrow(log, 1, shorterQueue).entries[0]!;
        const second = patchOrThrow(log, 1, longerQueue).entries[0]!;
        const chain = deriveChain({ ...log, entries: [first, second] });
        expect(chain.versions[chain.versions.length - 1]!.digest).toBe(first.digest);
        expect(chain.rejected).toEqual([{
            entry: second,
            reason: "made against version 1, but version 2 was current",
        }]);
    });

    it("rejects an entry whose digest does not fit its patch", () => {
        const log = patchOrThrow(createLog(), 1, shorterQueue);
        const forged = { ...log.entries[0]!, patch: longerQueue as never };
        expect(deriveChain({ ...log, entries: [forged] }).rejected).toHaveLength(1);
    });
});
