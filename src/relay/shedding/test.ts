import { Shedding } from "./index";

const runSeconds = (
    shedding: Shedding,
    clock: { nowMs: number; },
    seconds: number,
    congestion: number,
    rank = 2,
): number => {
    let admitted = 0;
    for (let step = 0; step < seconds * 100; step += 1) {
        clock.nowMs += 10;
        if (shedding.tryAdmit("route", rank, `new ${clock.nowMs}`)) {
            admitted += 1;
            shedding.recordAnswer("route", rank, congestion);
        }
    }
    return admitted / (seconds * 100);
};

const createShedding = () => {
    const clock = { nowMs: 0 };
    return { clock, shedding: new Shedding(() => clock.nowMs) };
};

describe("Shedding with a congested deep service", () => {
    it("lets everything in while answers report no congestion", () => {
        const { clock, shedding } = createShedding();
        expect(runSeconds(shedding, clock, 2, 0)).toBe(1);
    });

    it("lets less in the longer answers report congestion, but never nothing", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 3, 1);
        const admitted = runSeconds(shedding, clock, 3, 1);
        expect(admitted).toBeGreaterThan(0.05);
        expect(admitted).toBeLessThan(0.2);
    });

    it("spares the most important routes while the congestion is moderate", () => {
        const { clock, shedding } = createShedding();
        expect(runSeconds(shedding, clock, 3, 0.4, 0)).toBe(1);
    });

    it("is back to everything within ten seconds of the last congestion", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 5, 1);
        runSeconds(shedding, clock, 9, 0);
        expect(runSeconds(shedding, clock, 1, 0)).toBe(1);
    });
});

describe("Shedding with a herd of refused callers that return", () => {
    it("lets returning requests go ahead of new ones", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 6, 1);
        const refused: string[] = [];
        for (let index = 0; refused.length < 20; index += 1) {
            clock.nowMs += 1;
            const identity = `request ${index}`;
            if (!shedding.tryAdmit("route", 2, identity)) {
                refused.push(identity);
            }
        }
        const returned = refused.slice(0, 4).filter(identity => shedding.tryAdmit("route", 2, identity)).length;
        const fresh = ["a", "b", "c", "d"].filter(identity => shedding.tryAdmit("route", 2, identity)).length;
        expect(returned).toBeGreaterThan(1);
        expect(fresh).toBe(0);
    });
});

describe("Shedding and calls", () => {
    it("tells a congested kind of call from a calm one, and forgets old congestion", () => {
        const { clock, shedding } = createShedding();
        Array.from({ length: 20 }).forEach(() => shedding.recordNestedAnswer("deep", 1));
        expect(shedding.isUncongested("deep", true)).toBe(false);
        expect(shedding.isUncongested("other", true)).toBe(true);
        clock.nowMs += 3_000;
        expect(shedding.isUncongested("deep", true)).toBe(true);
    });
});
