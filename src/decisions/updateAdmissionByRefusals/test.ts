import fc from "fast-check";
import {
    type AdmissionState,
    type AnswerCounts,
    computeSamplingValue,
    initialAdmission,
    updateAdmissionByRefusals,
} from "./index";

const allRefused = { answered: 100, nestedRefusals: 100 };
const noneRefused = { answered: 100, nestedRefusals: 0 };

const runWindows = (start: AdmissionState, counts: AnswerCounts, windows: number): AdmissionState =>
    Array.from({ length: windows }).reduce<AdmissionState>(
        state => updateAdmissionByRefusals(state, counts, "normal"),
        start,
    );

describe("updateAdmissionByRefusals", () => {
    it("falls to the share of actions without refused nested calls, plus a tenth", () => {
        expect(
            updateAdmissionByRefusals(initialAdmission, { answered: 100, nestedRefusals: 60 }, "normal").probability,
        ).toBeCloseTo(0.5);
    });

    it("falls less for critical actions, which leave no slot free at the bottleneck for others", () => {
        expect(
            updateAdmissionByRefusals(initialAdmission, { answered: 100, nestedRefusals: 60 }, "critical")
                .probability,
        ).toBeCloseTo(0.7);
    });

    it("keeps admitting some actions, so that it notices free capacity", () => {
        expect(runWindows(initialAdmission, allRefused, 50).probability).toBe(0.02);
    });

    it("returns to 1 within 10 windows (1 s) without refusals", () => {
        expect(runWindows({ probability: 0.02, uncongestedWindows: 0 }, noneRefused, 10).probability).toBe(1);
    });

    it("grows slowly at first, so that it does not overload a bottleneck that persists", () => {
        expect(
            updateAdmissionByRefusals({ probability: 0.5, uncongestedWindows: 0 }, noneRefused, "normal").probability,
        ).toBeCloseTo(0.535);
    });

    it("stays within its bounds for any counts", () => {
        const anyCounts = fc.tuple(fc.nat(1_000), fc.nat(1_000)).map(([first, second]) => ({
            answered: Math.max(first, second),
            nestedRefusals: Math.min(first, second),
        }));
        const anyState = fc.record({
            probability: fc.double({ min: 0.02, max: 1, noNaN: true }),
            uncongestedWindows: fc.nat(5_000),
        });
        fc.assert(
            fc.property(anyState, anyCounts, (state, counts) => {
                const updated = updateAdmissionByRefusals(state, counts, "critical");
                expect(updated.probability).toBeGreaterThanOrEqual(0.02);
                expect(updated.probability).toBeLessThanOrEqual(1);
            }),
            { seed: 10, numRuns: 500 },
        );
    });
});

describe("computeSamplingValue", () => {
    it("lies in [0, 1), so that it can be compared with a probability", () => {
        fc.assert(
            fc.property(fc.uuid({ version: 7 }), action => {
                const value = computeSamplingValue(action);
                expect(value).toBeGreaterThanOrEqual(0);
                expect(value).toBeLessThan(1);
            }),
            { seed: 11, numRuns: 200 },
        );
    });
});
