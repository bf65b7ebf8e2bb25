import { type DirectRequest, Shedding } from "./index";

const createRequest = (rank: number, identity: string, organisation?: string): DirectRequest => ({
    route: "route",
    rank,
    organisation,
    identity,
});

/** Offers 100 new requests per second and reports `congestion` on each answer; returns the admitted share. */
const measureAdmittedShare = (
    shedding: Shedding,
    clock: { nowMs: number; },
    seconds: number,
    congestion: number,
    rank = 2,
): number => {
    let admittedCount = 0;
    for (let step = 0; step < seconds * 100; step += 1) {
        clock.nowMs += 10;
        if (shedding.tryAdmit(createRequest(rank, `new ${clock.nowMs}`))) {
            admittedCount += 1;
            shedding.recordAnswer("route", rank, congestion);
        }
    }
    return admittedCount / (seconds * 100);
};

const createShedding = () => {
    const clock = { nowMs: 0 };
    return { clock, shedding: new Shedding(() => clock.nowMs) };
};

describe("Shedding with a congested nested service", () => {
    it("admits all requests while answers report no congestion", () => {
        const { clock, shedding } = createShedding();
        expect(measureAdmittedShare(shedding, clock, 2, 0)).toBe(1);
    });

    it("admits fewer requests the longer answers report congestion, but never none", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 3, 1);
        const admittedShare = measureAdmittedShare(shedding, clock, 3, 1);
        expect(admittedShare).toBeGreaterThan(0.05);
        expect(admittedShare).toBeLessThan(0.2);
    });

    it("does not shed the most important routes while the congestion is moderate", () => {
        const { clock, shedding } = createShedding();
        expect(measureAdmittedShare(shedding, clock, 3, 0.4, 0)).toBe(1);
    });

    it("admits all requests again within ten seconds after the congestion ends", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 5, 1);
        measureAdmittedShare(shedding, clock, 9, 0);
        expect(measureAdmittedShare(shedding, clock, 1, 0)).toBe(1);
    });
});

describe("Shedding with organisations of different ranks on one route", () => {
    it("admits the important ones while the others are shed", () => {
        const { clock, shedding } = createShedding();
        for (let step = 0; step < 300; step += 1) {
            clock.nowMs += 10;
            [0, 2].filter(rank => shedding.tryAdmit(createRequest(rank, `${rank} ${step}`))).forEach(rank =>
                shedding.recordAnswer("route", rank, rank === 0 ? 0.2 : 0.8)
            );
        }
        expect(shedding.readAdmissionProbability("route", 0)).toBe(1);
        expect(shedding.readAdmissionProbability("route", 2)).toBeLessThan(0.3);
    });

    it("sheds the others when only important ones have met congestion", () => {
        const { clock, shedding } = createShedding();
        shedding.tryAdmit(createRequest(2, "first"));
        measureAdmittedShare(shedding, clock, 2, 0.3, 0);
        expect(shedding.readAdmissionProbability("route", 0)).toBe(1);
        expect(shedding.readAdmissionProbability("route", 2)).toBeLessThan(0.5);
    });
});

describe("Shedding with one organisation that sends ten times as much as each of the others", () => {
    const hotOrganisation = "org-0";

    it("lets the others in, and sheds the hot one", () => {
        const { clock, shedding } = createShedding();
        const admitted: string[] = [];
        const senders = Array.from({ length: 20 }, (unused, index) => `org-${Math.max(0, index - 9)}`);
        for (let step = 0; step < 600; step += 1) {
            clock.nowMs += 10;
            const organisation = senders[(step * 7) % senders.length]!;
            if (shedding.tryAdmit(createRequest(2, `new ${step}`, organisation))) {
                shedding.recordAnswer("route", 2, admitted.length % 2 === 0 ? 0.6 : 0);
                admitted.push(organisation);
            }
        }
        const hotCount = admitted.filter(name => name === hotOrganisation).length;
        const otherCount = admitted.length - hotCount;
        expect(hotCount / 300).toBeLessThan(0.7);
        expect(otherCount / 300).toBeGreaterThan(hotCount / 300 + 0.2);
    });
});

describe("Shedding in part", () => {
    // Guards against a credit that is cut off, with which any share between a half and all admits a half.
    it("admits the share of the requests that the admission probability says", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 0.3, 0.2);
        const probability = shedding.readAdmissionProbability("route", 2);
        const admittedCount =
            Array.from({ length: 200 }, (unused, index) => `new ${index}`).filter(identity =>
                shedding.tryAdmit(createRequest(2, identity))
            ).length;
        expect(probability).toBeGreaterThan(0.6);
        expect(probability).toBeLessThan(0.97);
        expect(admittedCount / 200).toBeCloseTo(probability, 1);
    });
});

describe("Shedding without answers", () => {
    // Guards against an entry that sheds nearly all of a few requests and takes the silence for free capacity.
    it("does not admit most requests again after a second of silence", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 6, 1);
        [100, 1_000].forEach(pauseMs => {
            clock.nowMs += pauseMs;
            shedding.tryAdmit(createRequest(2, `after ${pauseMs}`));
        });
        expect(shedding.readAdmissionProbability("route", 2)).toBeLessThan(0.5);
    });

    it("admits all requests again after some seconds of silence", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 6, 1);
        for (let second = 0; second < 6; second += 1) {
            clock.nowMs += 1_000;
            shedding.tryAdmit(createRequest(2, `late ${second}`));
        }
        expect(shedding.readAdmissionProbability("route", 2)).toBe(1);
    });
});

describe("Shedding with returning callers", () => {
    it("admits returning requests before new ones", () => {
        const { clock, shedding } = createShedding();
        measureAdmittedShare(shedding, clock, 6, 1);
        const shedIdentities: string[] = [];
        for (let index = 0; shedIdentities.length < 20; index += 1) {
            clock.nowMs += 1;
            const identity = `request ${index}`;
            if (!shedding.tryAdmit(createRequest(2, identity))) {
                shedIdentities.push(identity);
            }
        }
        const admittedReturningCount =
            shedIdentities.slice(0, 4).filter(identity => shedding.tryAdmit(createRequest(2, identity))).length;
        const admittedNewCount =
            ["a", "b", "c", "d"].filter(identity => shedding.tryAdmit(createRequest(2, identity))).length;
        expect(admittedReturningCount).toBeGreaterThan(1);
        expect(admittedNewCount).toBe(0);
    });
});

describe("Shedding with nested requests", () => {
    it("tracks the congestion of each route, which decays while no answers arrive", () => {
        const { clock, shedding } = createShedding();
        Array.from({ length: 20 }).forEach(() => shedding.recordNestedAnswer("deep", 1));
        expect(shedding.isUncongested("deep", 2, true)).toBe(false);
        expect(shedding.isUncongested("other", 2, true)).toBe(true);
        clock.nowMs += 3_000;
        expect(shedding.isUncongested("deep", 2, true)).toBe(true);
    });
});
