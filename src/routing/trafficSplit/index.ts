import { type RouteTarget } from "../types";

/** Distributes a route's requests over its targets in proportion to their weights, by smooth weighted round robin. */
export class TrafficSplit {
    private readonly currentWeights: number[];
    private readonly totalWeight: number;

    /**
     * `offset`, in [0, 1), is the initial current weight of the first target, as a share of its weight. It delays the
     * turns of targets with less weight, so that nodes with different offsets do not all send to these at once. It does
     * not change the sequence of targets with equal weights.
     */
    constructor(private readonly targets: readonly RouteTarget[], offset: number) {
        this.totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
        this.currentWeights = targets.map((target, index) => index === 0 ? offset * target.weight : 0);
    }

    /** Returns the service for the next request, and updates the current weights. */
    takeNext(): string {
        let bestIndex = 0;
        this.targets.forEach((target, index) => {
            this.currentWeights[index]! += target.weight;
            bestIndex = this.currentWeights[index]! > this.currentWeights[bestIndex]! ? index : bestIndex;
        });
        this.currentWeights[bestIndex]! -= this.totalWeight;
        return this.targets[bestIndex]!.service;
    }
}
