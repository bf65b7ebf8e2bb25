import { TrafficSplit } from "./index";

describe("TrafficSplit", () => {
    it("keeps the proportions within every hundred requests", () => {
        const split = new TrafficSplit([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], 0.5);
        for (let round = 0; round < 5; round += 1) {
            const services = Array.from({ length: 100 }, () => split.takeNext());
            expect(services.filter(service => service === "b").length).toBe(10);
        }
    });

    it("alternates between two targets of equal weight at any offset", () => {
        const targets = [{ service: "a", weight: 1 }, { service: "b", weight: 1 }];
        const sequences = [0, 0.9].map(offset => {
            const split = new TrafficSplit(targets, offset);
            return [split.takeNext(), split.takeNext(), split.takeNext()].join("");
        });
        expect(sequences[0]).toMatch(/^(aba|bab)$/u);
        expect(sequences[1]).toMatch(/^(aba|bab)$/u);
    });
});
