import fc from "fast-check";
import { addLeavingNotice, type Incarnation, isNoticed, noLeavingNotices } from "./index";

const incarnations: fc.Arbitrary<Incarnation> = fc.record({
    id: fc.constantFrom("a", "b", "c"),
    bornAtMs: fc.integer({ min: 0, max: 5 }),
});

describe("leaving notices", () => {
    // Guards against requests to an upstream that an older list shows as ready after it has said that it is leaving.
    it("hold for an incarnation in any order of notices, and never for a later one", () => {
        fc.assert(
            fc.property(fc.array(incarnations, { maxLength: 30 }), incarnations, (said, asked) => {
                const notices = said.reduce(addLeavingNotice, noLeavingNotices);
                const latest = Math.max(...said.filter(({ id }) => id === asked.id).map(({ bornAtMs }) => bornAtMs));
                expect(isNoticed(notices, asked)).toBe(asked.bornAtMs <= latest);
            }),
            { numRuns: 2_000, seed: 24 },
        );
    });

    it("don't change the notices that they are added to", () => {
        const first = addLeavingNotice(noLeavingNotices, { id: "a", bornAtMs: 1 });
        addLeavingNotice(first, { id: "b", bornAtMs: 1 });
        expect([...first.keys()]).toEqual(["a"]);
        expect(noLeavingNotices.size).toBe(0);
    });

    it("are bounded in number; the oldest are forgotten first", () => {
        let notices = noLeavingNotices;
        for (let index = 0; index < 4_200; index += 1) {
            notices = addLeavingNotice(notices, { id: `${index}`, bornAtMs: 1 });
        }
        expect(notices.size).toBe(4_096);
        expect(isNoticed(notices, { id: "0", bornAtMs: 1 })).toBe(false);
        expect(isNoticed(notices, { id: "4199", bornAtMs: 1 })).toBe(true);
    });
});
