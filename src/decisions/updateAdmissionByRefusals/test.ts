import fc from "fast-check";
import {
    type AdmissionState,
    type AnswerCounts,
    computeSamplingValue,
    initialAdmission,
    updateAdmissionByRefusals,
} from "./index";

const allRefused = { answered: 100, nestedCallRefused: 100 };
const noneRefused = { answered: 100, nestedCallRefused: 0 };

const runWindows = (start: AdmissionState, readings: AnswerCounts, windows: number): AdmissionState =>
    Array.from({ length: windows }).reduce<AdmissionState>(
        state => updateAdmissionByRefusals(state, readings, "normal"),
        start,
    );

describe("updateAdmittedShare", () => {
    it("comes down to what passes below, and a tenth more", () => {
        expect(updateAdmissionByRefusals(initialAdmission, { answered: 100, nestedCallRefused: 60 }, "normal").share)
            .toBeCloseTo(
                0.5,
            );
    });

    it("lets more critical actions in than pass below, so that less important ones find no free slot there", () => {
        expect(updateAdmissionByRefusals(initialAdmission, { answered: 100, nestedCallRefused: 60 }, "critical").share)
            .toBeCloseTo(
                0.7,
            );
    });

    it("never falls to nothing, so that it notices when there is room again", () => {
        expect(runWindows(initialAdmission, allRefused, 50).share).toBe(0.02);
    });

    it("is back at 1 within 10 windows, 1 second, without refusals", () => {
        expect(runWindows({ share: 0.02, uncongestedWindows: 0 }, noneRefused, 10).share).toBe(1);
    });

    it("grows slowly at first, so that a bottleneck that stays is met gently", () => {
        expect(updateAdmissionByRefusals({ share: 0.5, uncongestedWindows: 0 }, noneRefused, "normal").share)
            .toBeCloseTo(0.535);
    });

    it("stays between its bounds for any readings", () => {
        const counts = fc.tuple(fc.nat(1_000), fc.nat(1_000)).map(([first, second]) => ({
            answered: Math.max(first, second),
            nestedCallRefused: Math.min(first, second),
        }));
        const state = fc.record({
            share: fc.double({ min: 0.02, max: 1, noNaN: true }),
            uncongestedWindows: fc.nat(5_000),
        });
        fc.assert(
            fc.property(state, counts, (held, readings) => {
                const updated = updateAdmissionByRefusals(held, readings, "critical");
                expect(updated.share).toBeGreaterThanOrEqual(0.02);
                expect(updated.share).toBeLessThanOrEqual(1);
            }),
            { seed: 10, numRuns: 500 },
        );
    });
});

describe("computeActionRank", () => {
    it("spreads actions evenly enough to be used as a share", () => {
        fc.assert(
            fc.property(fc.uuid({ version: 7 }), action => {
                const rank = computeSamplingValue(action);
                expect(rank).toBeGreaterThanOrEqual(0);
                expect(rank).toBeLessThan(1);
            }),
            { seed: 11, numRuns: 200 },
        );
    });
});
