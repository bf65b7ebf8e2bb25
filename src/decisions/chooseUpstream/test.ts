import { chooseUpstream, type UpstreamCandidate, type UpstreamChoiceOptions } from "./index";

const createCandidate = (changes: Partial<UpstreamCandidate> = {}): UpstreamCandidate => ({
    id: "near",
    isLocalDomain: true,
    occupied: 0,
    limit: 10,
    meanServiceMs: 50,
    reportAgeMs: 0,
    isOutlier: false,
    ...changes,
});

const createContext = (changes: Partial<UpstreamChoiceOptions> = {}): UpstreamChoiceOptions => ({
    domainPenaltyMs: 30,
    mayExplore: true,
    randoms: [0.99, 0.5],
    ...changes,
});

describe("chooseUpstream under the load of one failure domain", () => {
    it("stays in the failure domain while that costs less than the penalty", () => {
        const far = createCandidate({ id: "far", isLocalDomain: false, meanServiceMs: 30 });
        expect(chooseUpstream([createCandidate(), far], createContext())?.id).toBe("near");
    });

    it("spills over when the queue at home is longer than the penalty", () => {
        const far = createCandidate({ id: "far", isLocalDomain: false });
        const near = createCandidate({ occupied: 18 });
        expect(chooseUpstream([near, far], createContext())?.id).toBe("far");
    });
});

describe("chooseUpstream with a slow upstream", () => {
    it("leaves the slow one out, and tries it again when nothing has been heard of it for a while", () => {
        const slow = createCandidate({ id: "slow", meanServiceMs: 400, reportAgeMs: 1_500 });
        const candidates = [slow, createCandidate({ id: "quick" })];
        expect(chooseUpstream(candidates, createContext())?.id).toBe("quick");
        expect(chooseUpstream(candidates, createContext({ randoms: [0.05, 0.5] }))?.id).toBe("slow");
    });

    it("explores only with requests that may be repeated", () => {
        const slow = createCandidate({ id: "slow", meanServiceMs: 400, reportAgeMs: 1_500 });
        const context = createContext({ randoms: [0.05, 0.5], mayExplore: false });
        expect(chooseUpstream([slow, createCandidate({ id: "quick" })], context)?.id).toBe("quick");
    });
});

describe("chooseUpstream with upstreams that can't be reached", () => {
    it("leaves suspects out while there are others, and takes one rather than none", () => {
        const suspect = createCandidate({ id: "suspect", isOutlier: true });
        const far = createCandidate({ id: "far", isLocalDomain: false, meanServiceMs: 500 });
        expect(chooseUpstream([suspect, far], createContext())?.id).toBe("far");
        expect(chooseUpstream([suspect], createContext())?.id).toBe("suspect");
        expect(chooseUpstream([], createContext())).toBeUndefined();
    });
});
