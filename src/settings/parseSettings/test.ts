import fc from "fast-check";
import { parseSettings } from "./index";

const address = { host: "127.0.0.1", port: 7000 };

const createSettings = (change: Readonly<Record<string, unknown>> = {}) => ({
    endpoint: "desk-a",
    service: "desk",
    failureDomain: "zone-a",
    region: "north",
    listen: { peers: address, egress: address, control: address },
    upstream: address,
    platform: { address, policyKey: "policy", instancesKey: "instances" },
    ...change,
});

const listPaths = (text: string): readonly string[] => {
    const parsed = parseSettings(text);
    return parsed.ok ? [] : parsed.faults.map(fault => fault.path);
};

describe("parseSettings", () => {
    it("fills in what may be left out", () => {
        expect(parseSettings(JSON.stringify(createSettings()))).toMatchObject({
            ok: true,
            value: { callers: [], logLevel: "info" },
        });
    });

    it("lists every fault at once, with its path", () => {
        const text = JSON.stringify(createSettings({ upstream: { host: "localhost", port: 0 }, extra: 1 }));
        expect(listPaths(text)).toEqual(["$.upstream.host", "$.upstream.port", "$"]);
    });

    it("says what was found and what was expected", () => {
        const parsed = parseSettings(JSON.stringify(createSettings({ endpoint: "Desk A" })));
        expect(parsed.ok ? "" : parsed.faults[0]!.message).toBe(
            'expected a lower-case name of at most 63 letters, digits and dashes; found "Desk A"',
        );
    });

    it("turns any text into settings or into faults", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json()), text => {
                const parsed = parseSettings(text);
                expect(parsed.ok || parsed.faults.length > 0).toBe(true);
            }),
            { seed: 1, numRuns: 500 },
        );
    });

    it("turns settings with one changed value into settings or into faults", () => {
        const key = fc.constantFrom(...Object.keys(createSettings()));
        fc.assert(
            fc.property(key, fc.jsonValue(), (name, value) => {
                const parsed = parseSettings(JSON.stringify(createSettings({ [name]: value })));
                expect(parsed.ok || parsed.faults.length > 0).toBe(true);
            }),
            { seed: 2, numRuns: 500 },
        );
    });
});
