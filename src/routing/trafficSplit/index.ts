import { type RouteTarget } from "../types";

/** Divides a route's requests among its targets in proportion to their weights, by smooth weighted round robin. */
export class TrafficSplit {
    private readonly credits: number[];
    private readonly totalWeight: number;

    /** `start` in [0, 1) shifts the sequence, so that nodes don't all begin with the same target. */
    constructor(private readonly targets: readonly RouteTarget[], start: number) {
        this.totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
        this.credits = targets.map((target, index) => index === 0 ? start * target.weight : 0);
    }

    /** Takes the service of the next request. */
    takeNext(): string {
        let best = 0;
        this.targets.forEach((target, index) => {
            this.credits[index]! += target.weight;
            best = this.credits[index]! > this.credits[best]! ? index : best;
        });
        this.credits[best]! -= this.totalWeight;
        return this.targets[best]!.service;
    }
}
