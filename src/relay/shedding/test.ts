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

describe("Shedding with a congested nested service", () => {
    it("admits all requests while answers report no congestion", () => {
        const { clock, shedding } = createShedding();
        expect(runSeconds(shedding, clock, 2, 0)).toBe(1);
    });

    it("admits fewer requests the longer answers report congestion, but never none", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 3, 1);
        const admitted = runSeconds(shedding, clock, 3, 1);
        expect(admitted).toBeGreaterThan(0.05);
        expect(admitted).toBeLessThan(0.2);
    });

    it("does not shed the most important routes while the congestion is moderate", () => {
        const { clock, shedding } = createShedding();
        expect(runSeconds(shedding, clock, 3, 0.4, 0)).toBe(1);
    });

    it("admits all requests again within ten seconds of the last congestion", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 5, 1);
        runSeconds(shedding, clock, 9, 0);
        expect(runSeconds(shedding, clock, 1, 0)).toBe(1);
    });
});

describe("Shedding with many shed callers that return", () => {
    it("admits returning requests before new ones", () => {
        const { clock, shedding } = createShedding();
        runSeconds(shedding, clock, 6, 1);
        const shed: string[] = [];
        for (let index = 0; shed.length < 20; index += 1) {
            clock.nowMs += 1;
            const identity = `request ${index}`;
            if (!shedding.tryAdmit("route", 2, identity)) {
                shed.push(identity);
            }
        }
        const admittedReturning = shed.slice(0, 4).filter(identity => shedding.tryAdmit("route", 2, identity)).length;
        const admittedNew = ["a", "b", "c", "d"].filter(identity => shedding.tryAdmit("route", 2, identity)).length;
        expect(admittedReturning).toBeGreaterThan(1);
        expect(admittedNew).toBe(0);
    });
});

describe("Shedding with nested requests", () => {
    it("keeps the congestion of routes apart and lets old congestion decay", () => {
        const { clock, shedding } = createShedding();
        Array.from({ length: 20 }).forEach(() => shedding.recordNestedAnswer("deep", 1));
        expect(shedding.isUncongested("deep", true)).toBe(false);
        expect(shedding.isUncongested("other", true)).toBe(true);
        clock.nowMs += 3_000;
        expect(shedding.isUncongested("deep", true)).toBe(true);
    });
});
