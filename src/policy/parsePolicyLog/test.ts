import fc from "fast-check";
import { createPolicy } from "../../testing/createPolicy";
import { createPolicyLog } from "../createPolicyLog";
import { deriveChain } from "../deriveChain";
import { patchPolicyLog } from "../patchPolicyLog";
import { type PolicyLog } from "../types";
import { parsePolicyLog } from "./index";

const note = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), note);
    const patch = [{ op: "replace", path: "/retryLimit", value: 2 }];
    const patched = created.ok ? patchPolicyLog(created.value, 1, patch, note) : created;
    if (!patched.ok) {
        throw new Error("the fixture is not a policy log");
    }
    return patched.value;
};

/** Replaces the value at one path of a document. */
const updateAt = (document: unknown, path: readonly string[], value: unknown): unknown => {
    const [first, ...rest] = path;
    if (first === undefined) {
        return value;
    }
    const container = document as Record<string, unknown>;
    const changed = { ...container, [first]: updateAt(container[first], rest, value) };
    return Array.isArray(document) ? Object.values(changed) : changed;
};

const listPaths = (document: unknown, prefix: readonly string[] = []): readonly (readonly string[])[] =>
    typeof document === "object" && document
        ? [prefix, ...Object.entries(document).flatMap(([key, value]) => listPaths(value, [...prefix, key]))]
        : [prefix];

describe("parsePolicyLog", () => {
    it("reads back what was written", () => {
        const log = createLog();
        expect(parsePolicyLog(JSON.stringify(log))).toEqual({ ok: true, value: log });
    });

    it("refuses text over the platform's bound on values", () => {
        expect(parsePolicyLog(" ".repeat(1024 * 1024 + 1)).ok).toBe(false);
    });

    it("turns any text into a log or into faults", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json()), text => {
                const parsed = parsePolicyLog(text);
                expect(parsed.ok || parsed.faults.length > 0).toBe(true);
            }),
            { seed: 3, numRuns: 500 },
        );
    });

    it("never derives another policy from a log of which one value was changed, unless it is only a note", () => {
        const log = createLog();
        const paths = listPaths(log);
        const expected = deriveChain(log).versions.map(version => version.digest);
        fc.assert(
            fc.property(fc.constantFrom(...paths), fc.jsonValue(), (path, value) => {
                const parsed = parsePolicyLog(JSON.stringify(updateAt(log, path, value)));
                if (!parsed.ok) {
                    return;
                }
                const { versions } = deriveChain(parsed.value);
                const latest = versions[versions.length - 1]!;
                const isForged = expected.includes(latest.digest)
                    && JSON.stringify(latest.policy)
                        !== JSON.stringify(deriveChain(log).versions[latest.version - 1]!.policy);
                expect(isForged).toBe(false);
            }),
            { seed: 4, numRuns: 1_000 },
        );
    });
});

describe("parsePolicyLog with a known version", () => {
    it("returns only what follows that version, and the same latest version as without it", () => {
        const log = createLog();
        const all = deriveChain(log).versions;
        all.forEach(known => {
            const parsed = parsePolicyLog(JSON.stringify(log), known);
            if (!parsed.ok) {
                throw new Error(JSON.stringify(parsed.faults));
            }
            expect(parsed.value.entries).toHaveLength(log.entries.length - known.version + 1);
            const { versions } = deriveChain(parsed.value, known);
            expect(versions[versions.length - 1]!.digest).toBe(all[all.length - 1]!.digest);
        });
    });

    it("checks a log that does not contain that version as a whole", () => {
        const known = { ...deriveChain(createLog()).versions[0]!, digest: "0".repeat(64) };
        expect(parsePolicyLog(JSON.stringify(createLog()), known)).toEqual({ ok: true, value: createLog() });
        expect(parsePolicyLog('{"entries":[null]}', known).ok).toBe(false);
    });
});

describe("a patch that touches routes", () => {
    it("has them checked, also when it moves or replaces what holds them", () => {
        const log = createLog();
        const badRoute = { ...createPolicy().services["desk"]!.routes[0]!, name: "bad", path: "/items/:item/:item(" };
        const patches = [
            [{ op: "add", path: "/services/desk/routes/-", value: badRoute }],
            [{ op: "replace", path: "/services/desk/routes/0/path", value: badRoute.path }],
            [{
                op: "replace",
                path: "/services",
                value: { desk: { ...createPolicy().services["desk"]!, routes: [badRoute] } },
            }],
        ];
        patches.forEach(patch => expect(patchPolicyLog(log, 2, patch, note).ok).toBe(false));
    });
});
