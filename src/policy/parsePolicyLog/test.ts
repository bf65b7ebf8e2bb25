import fc from "fast-check";
import { createPolicy } from "../../testing/createPolicy";
import { createPolicyLog } from "../createPolicyLog";
import { deriveChain } from "../deriveChain";
import { patchPolicyLog } from "../patchPolicyLog";
import { type PolicyLog } from "../types";
import { parsePolicyLog } from "./index";

const metadata = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), metadata);
    const patch = [{ op: "replace", path: "/retryLimit", value: 2 }];
    const patched = created.ok ? patchPolicyLog(created.value, 1, patch, metadata) : created;
    if (!patched.ok) {
        throw new Error("the fixture is not a policy log");
    }
    return patched.value;
};

/** Returns a document with the value at one path replaced. */
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
    it("parses a serialized log", () => {
        const log = createLog();
        expect(parsePolicyLog(JSON.stringify(log))).toEqual({ ok: true, value: log });
    });

    it("refuses text longer than 1 MiB, the platform's size limit for values", () => {
        expect(parsePolicyLog(" ".repeat(1024 * 1024 + 1)).ok).toBe(false);
    });

    it("returns a log or faults for any text", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json()), text => {
                const parsed = parsePolicyLog(text);
                expect(parsed.ok || parsed.faults.length > 0).toBe(true);
            }),
            { seed: 3, numRuns: 500 },
        );
    });

    // Guards against a node that ends because a published value is nested more deeply than the schema can follow.
    it.each([100, 3_000, 200_000])("returns faults for a patch with a value of %d levels", depth => {
        const log = createLog();
        const patch = [{ op: "replace", path: "/retryLimit", value: "VALUE" }];
        const text = JSON.stringify({ ...log, entries: [{ ...log.entries[0]!, patch }] });
        const parsed = parsePolicyLog(text.replace('"VALUE"', () => "[".repeat(depth) + "]".repeat(depth)));
        const versions = parsed.ok ? deriveChain(parsed.value).versions : [];
        expect(parsed.ok ? versions.length : parsed.faults.length).toBe(1);
    });

    it("never derives another policy from a log with one changed value, unless that value is change metadata", () => {
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
    it("returns only the entries that follow it and derives the same latest version as from the whole log", () => {
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

    it("checks the whole log if the log does not contain it", () => {
        const known = { ...deriveChain(createLog()).versions[0]!, digest: "0".repeat(64) };
        expect(parsePolicyLog(JSON.stringify(createLog()), known)).toEqual({ ok: true, value: createLog() });
        expect(parsePolicyLog('{"entries":[null]}', known).ok).toBe(false);
    });
});

describe("a patch that touches routes", () => {
    it("is refused for an invalid path pattern, also when it replaces the services object", () => {
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
        patches.forEach(patch => expect(patchPolicyLog(log, 2, patch, metadata).ok).toBe(false));
    });
});
