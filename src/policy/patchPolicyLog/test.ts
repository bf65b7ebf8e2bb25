import { createPolicy } from "../../testing/createPolicy";
import { createPolicyLog } from "../createPolicyLog";
import { deriveChain } from "../deriveChain";
import { type PolicyLog } from "../types";
import { patchPolicyLog } from "./index";

const metadata = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };
const shorterQueue = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 5 }];
const longerQueue = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 50 }];

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), metadata);
    if (!created.ok) {
        throw new Error("the fixture is not a policy");
    }
    return created.value;
};

const patchOrThrow = (log: PolicyLog, baseVersion: number, patch: unknown): PolicyLog => {
    const patched = patchPolicyLog(log, baseVersion, patch, metadata);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    return patched.value;
};

describe("patchPolicyLog", () => {
    it("appends a version to the base version", () => {
        const { versions } = deriveChain(patchOrThrow(createLog(), 1, shorterQueue));
        expect(versions.map(version => version.version)).toEqual([1, 2]);
        expect(versions[1]!.policy.services["desk"]!.queue.maxLength).toBe(5);
    });

    it("refuses a patch against a version that is no longer the latest one", () => {
        const log = patchOrThrow(createLog(), 1, shorterQueue);
        expect(patchPolicyLog(log, 1, longerQueue, metadata)).toEqual({
            ok: false,
            faults: [{ path: "$", message: "the patch is against version 1, but version 2 is current" }],
        });
    });

    it("refuses a patch that changes nothing", () => {
        const patch = [{ op: "replace", path: "/services/desk/queue/maxLength", value: 10 }];
        expect(patchPolicyLog(createLog(), 1, patch, metadata)).toMatchObject({ ok: false });
    });

    it("refuses a patch that makes the policy invalid, and lists all faults", () => {
        const patch = [
            { op: "replace", path: "/retryLimit", value: -1 },
            { op: "add", path: "/services/desk/unknown", value: true },
        ];
        const patched = patchPolicyLog(createLog(), 1, patch, metadata);
        expect(patched.ok ? [] : patched.faults.map(fault => fault.path)).toEqual(["$.retryLimit", "$.services.desk"]);
    });
});

describe("deriveChain", () => {
    it("accepts the first of two patches against one version and rejects the second", () => {
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

    it("rejects an entry whose digest does not match the patched policy", () => {
        const log = patchOrThrow(createLog(), 1, shorterQueue);
        const forged = { ...log.entries[0]!, patch: longerQueue as never };
        expect(deriveChain({ ...log, entries: [forged] }).rejected).toHaveLength(1);
    });
});
