import fc from "fast-check";
import { parseSettings } from "./index";

const address = { host: "127.0.0.1", port: 7000 };

const createSettings = (changes: Readonly<Record<string, unknown>> = {}) => ({
    endpoint: "desk-a",
    service: "desk",
    failureDomain: "zone-a",
    region: "north",
    listen: { peers: address, egress: address, control: address },
    upstream: address,
    platform: { address, policyKey: "policy", instancesKey: "instances" },
    ...changes,
});

const listFaultPaths = (text: string): readonly string[] => {
    const parsed = parseSettings(text);
    return parsed.ok ? [] : parsed.faults.map(fault => fault.path);
};

describe("parseSettings", () => {
    it("applies defaults to omitted settings", () => {
        expect(parseSettings(JSON.stringify(createSettings()))).toMatchObject({
            ok: true,
            value: { callers: [], logLevel: "info" },
        });
    });

    it("lists all faults with their paths", () => {
        const text = JSON.stringify(createSettings({ upstream: { host: "localhost", port: 0 }, extra: 1 }));
        expect(listFaultPaths(text)).toEqual(["$.upstream.host", "$.upstream.port", "$"]);
    });

    it("reports the expected and the found value", () => {
        const parsed = parseSettings(JSON.stringify(createSettings({ endpoint: "Desk A" })));
        expect(parsed.ok ? "" : parsed.faults[0]!.message).toBe(
            'expected a lower-case name of at most 63 letters, digits and dashes; found "Desk A"',
        );
    });

    it("returns settings or faults for any text", () => {
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json()), text => {
                const parsed = parseSettings(text);
                expect(parsed.ok || parsed.faults.length > 0).toBe(true);
            }),
            { seed: 1, numRuns: 500 },
        );
    });

    it("returns settings or faults if one value is replaced by any JSON value", () => {
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
