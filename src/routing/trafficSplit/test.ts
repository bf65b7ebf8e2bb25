import { TrafficSplit } from "./index";

describe("TrafficSplit", () => {
    it("keeps the proportions in every hundred requests", () => {
        const split = new TrafficSplit([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], 0.5);
        for (let round = 0; round < 5; round += 1) {
            const taken = Array.from({ length: 100 }, () => split.takeNext());
            expect(taken.filter(service => service === "b").length).toBe(10);
        }
    });

    it("lets nodes begin at different places", () => {
        const targets = [{ service: "a", weight: 1 }, { service: "b", weight: 1 }];
        const firsts = [0, 0.9].map(start => {
            const split = new TrafficSplit(targets, start);
            return [split.takeNext(), split.takeNext(), split.takeNext()].join("");
        });
        expect(firsts[0]).toMatch(/^(aba|bab)$/u);
        expect(firsts[1]).toMatch(/^(aba|bab)$/u);
    });
});
