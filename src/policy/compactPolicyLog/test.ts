import { createPolicy } from "../../testing/createPolicy";
import { createPolicyLog } from "../createPolicyLog";
import { deriveChain } from "../deriveChain";
import { parsePolicyLog } from "../parsePolicyLog";
import { patchPolicyLog } from "../patchPolicyLog";
import { type PolicyLog } from "../types";
import { compactPolicyLog } from "./index";

const metadata = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const createLongLog = (patches: number): PolicyLog => {
    const created = createPolicyLog(createPolicy(), metadata);
    let log = created;
    for (let version = 1; version <= patches && log.ok; version += 1) {
        const patch = [{ op: "replace", path: "/services/desk/slots", value: 100 + version }];
        log = patchPolicyLog(log.value, version, patch, metadata);
    }
    if (!log.ok) {
        throw new Error("the fixture is not a policy log");
    }
    return log.value;
};

describe("compactPolicyLog", () => {
    it("keeps the newest versions with their digests", () => {
        const log = createLongLog(9);
        const compacted = compactPolicyLog(log, 3);
        const all = deriveChain(log).versions.map(version => version.digest);
        expect(deriveChain(compacted).versions.map(version => version.digest)).toEqual(all.slice(-4));
        expect(parsePolicyLog(JSON.stringify(compacted)).ok).toBe(true);
    });

    it("returns a log with few entries unchanged", () => {
        const log = createLongLog(2);
        expect(compactPolicyLog(log, 10)).toEqual(log);
    });
});
